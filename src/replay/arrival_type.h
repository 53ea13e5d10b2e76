#pragma once

#include <cstdint>

#include "base/time_type.h"
#include "health/request_outcome_type.h"

namespace poplarfork::replay {

// One request of the simulated load with the random numbers that decide its
// outcome. The numbers are drawn before the request is routed, so that all
// detectors are measured on the same outcomes.
struct Arrival {
  base::TimePoint arrived_at{};
  std::uint32_t daemon_index = 0;
  std::uint32_t upstream_index = 0;
  // The four numbers below are uniform between 0 and 1. `routing_draw` is
  // compared with the routing weight of the upstream, `outcome_draw` decides
  // whether a healthy upstream fails the request, `fault_draw` whether a faulty
  // one does, and `tail_draw` whether the request is in the slow tail.
  double routing_draw = 0;
  double outcome_draw = 0;
  double fault_draw = 0;
  double tail_draw = 0;
  // A standard normal number, from which the log-normal latency is computed.
  double latency_draw = 0;
  std::uint64_t fingerprint = 0;
};

// The outcome and the latency of a simulated request.
struct ArrivalResult {
  health::RequestOutcome outcome = health::RequestOutcome::kSuccess;
  base::Duration latency{};
};

}  // namespace poplarfork::replay
