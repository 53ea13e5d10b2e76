#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::health {

// State of the sequential tests and of the baselines for one upstream.
struct DetectorState {
  // CUSUM statistics in nats, never negative.
  double outcome_score = 0;
  double latency_score = 0;
  // Times of the first and the last bad event since the statistic was last 0.
  base::TimePoint first_bad_outcome{};
  base::TimePoint last_bad_outcome{};
  base::TimePoint first_bad_latency{};
  base::TimePoint last_bad_latency{};
  // Number of failures in a row, used by the consecutive-failures baseline.
  std::uint32_t consecutive_failures = 0;
  // Counts of the current interval, used by the success-rate baseline.
  std::uint32_t interval_requests = 0;
  std::uint32_t interval_failures = 0;
};

}  // namespace poplarfork::health
