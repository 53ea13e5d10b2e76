#pragma once

#include <cstdint>
#include <vector>

#include "base/time_type.h"
#include "health/action_type.h"
#include "health/observation_type.h"

namespace poplarfork::health {

struct ServiceHealth;
struct DetectorState;

// Result of evaluating an upstream.
struct DetectionResult {
  // `kNone` if the upstream is not suspect.
  Reason reason = Reason::kNone;
  // Orders suspect upstreams; a larger value is more suspect.
  double suspicion = 0;
};

// A detection method as a table of functions over the same state. The
// sequential tests and the two baselines implement it.
struct Detector {
  const char* name;
  // True if attribution, pooled evidence and the check for service-wide faults
  // apply.
  bool uses_attribution;
  // Adds one observation of upstream `index` and returns the change of the
  // latency statistic in nats.
  double (*add_observation)(ServiceHealth& health,
                            std::uint32_t index,
                            const UpstreamObservation& observation,
                            base::TimePoint now);
  // Evaluates upstream `index` after an observation.
  DetectionResult (*evaluate)(const ServiceHealth& health,
                              std::uint32_t index,
                              base::TimePoint now);
  // Returns the upstreams that became suspect because time has passed.
  std::vector<std::uint32_t> (*on_tick)(ServiceHealth& health,
                                        base::TimePoint now);
};

}  // namespace poplarfork::health
