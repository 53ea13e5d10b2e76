#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::health {

// Parameters that the detection policy of a service selects.
struct DetectionParameters {
  // Threshold of a daemon's own tests, in nats.
  double avoid_threshold = 0;
  // Threshold of the same tests during the ramp after a trial, in nats. It is
  // also the minimum suspicion of an avoided upstream.
  double trial_threshold = 0;
  // Threshold of the coordinator's pooled test, in nats.
  double fleet_threshold = 0;
  // The bad events of a daemon's own test and of the pooled test, respectively,
  // must span at least this time, so that a short pause of the upstream does
  // not lead to its ejection.
  base::Duration min_avoid_span{};
  base::Duration min_fleet_span{};
  // Number of good responses in a row that end a trial.
  std::uint32_t required_trial_successes = 0;
};

}  // namespace poplarfork::health
