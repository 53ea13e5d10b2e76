#pragma once

#include <cstdint>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::replay {

// The kind of fault that is injected into a simulation.
enum class FaultKind {
  // There is no fault.
  kNone,
  // The faulty upstreams take six times their typical latency.
  kSlow,
  // 70% of the responses of the faulty upstreams are invalid.
  kInvalidResponses,
  // 35% of the requests to the faulty upstreams fail.
  kPartialFailure,
  // The faulty upstreams answer neither requests nor probes.
  kHang,
  // All requests to the faulty upstreams fail for 5 s of every 10 s.
  kFlapping,
  // All requests to the faulty upstreams fail while probes of their health
  // endpoint pass.
  kMisleadingHealthEndpoint,
  // Messages from other data centres to the first data centre are lost. A
  // request or a probe between the two sides therefore gets no response,
  // whichever side sends it.
  kOneWayPartition,
  // All upstreams take six times their typical latency and fail 30% of the
  // requests.
  kOverload,
  // Daemons are paused for 1 s to 10 s, a new pause every 6 s. All upstreams
  // are healthy.
  kPausedObserver,
};

// One fault and the period in which it is present.
struct Fault {
  FaultKind kind = FaultKind::kNone;
  // The indices of the faulty upstreams. Empty if the fault is not at
  // particular upstreams: a partition, an overload or paused daemons.
  std::vector<std::uint32_t> upstream_indices;
  base::TimePoint start{};
  base::TimePoint end{};
};

}  // namespace poplarfork::replay
