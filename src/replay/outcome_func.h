#pragma once

#include "base/rng_type.h"
#include "base/time_type.h"
#include "replay/arrival_type.h"
#include "replay/fault_type.h"
#include "replay/workload_type.h"

namespace poplarfork::replay {

// Draws the request that follows the time `previous` in a Poisson stream.
Arrival DrawArrival(const Workload& workload,
                    base::TimePoint previous,
                    base::Rng& rng);

// Returns how the request `arrival` ends. Healthy upstreams also fail 0.4% of
// the requests, lose the connection of 0.1%, take 3 to 15 times as long for
// 0.5%, and pause for 300 ms every 2 minutes. A request that would take longer
// than its deadline times out.
ArrivalResult ComputeArrivalResult(const Workload& workload,
                                   const Fault& fault,
                                   const Arrival& arrival);

// Returns true if at the time `time` the fault is at the upstream or between
// the daemon and the upstream, so that the daemon is right to avoid it. An
// overload of all upstreams does not count as such a fault.
bool IsFaulty(const Workload& workload,
              const Fault& fault,
              std::uint32_t daemon_index,
              std::uint32_t upstream_index,
              base::TimePoint time);

// Returns true if messages from the daemon `sender` to the daemon `receiver`
// are lost at the time `time`.
bool IsMessageLost(const Workload& workload,
                   const Fault& fault,
                   std::uint32_t sender,
                   std::uint32_t receiver,
                   base::TimePoint time);

// Returns true if a probe of the upstream by the daemon passes.
bool ProbePasses(const Workload& workload,
                 const Fault& fault,
                 std::uint32_t daemon_index,
                 std::uint32_t upstream_index,
                 base::TimePoint time);

}  // namespace poplarfork::replay
