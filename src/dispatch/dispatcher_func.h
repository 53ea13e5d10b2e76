#pragma once

#include <span>

#include "base/rng_type.h"
#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Handles a daemon's slot request. If the request for the same attempt arrives
// again, the reply is repeated, because datagrams may be lost.
Actions OnSlotRequest(Dispatcher& dispatcher,
                      const base::DaemonId& daemon,
                      const SlotRequest& slot_request,
                      base::TimePoint now,
                      base::Rng& rng);

// Handles a daemon's report of how a granted attempt ended.
Actions OnAttemptReport(Dispatcher& dispatcher,
                        const base::DaemonId& daemon,
                        const AttemptReport& report,
                        base::TimePoint now,
                        base::Rng& rng);

// Removes a request from the queue.
void OnWithdrawal(Dispatcher& dispatcher,
                  const base::DaemonId& daemon,
                  const Withdrawal& withdrawal);

// Updates the dispatcher with an upstream that was added, changed or removed.
Actions OnUpstreamRecord(Dispatcher& dispatcher,
                         const fleet::UpstreamRecord& record,
                         base::TimePoint now,
                         base::Rng& rng);

// Handles the result of a health probe.
Actions OnProbeResult(Dispatcher& dispatcher,
                      const base::ServiceId& service,
                      const base::UpstreamId& upstream,
                      ProbeResult result,
                      base::TimePoint now);

// Handles attempts that have stalled or whose reports were lost, queued
// requests that have expired, and suspensions that have ended. It is called
// every kTickInterval while NeedsTick() is true.
Actions OnTick(Dispatcher& dispatcher, base::TimePoint now, base::Rng& rng);

// Tells whether OnTick() has something to do: attempts are running, requests
// are queued, or upstreams are suspended.
bool NeedsTick(const Dispatcher& dispatcher, base::TimePoint now);

// Retry-After while the service has no upstream or none is known yet. Upstreams
// that are starting write their entries within about this time.
inline constexpr base::Duration kNoUpstreamRetryAfter =
    std::chrono::milliseconds(500);

inline constexpr base::Duration kTickInterval = std::chrono::milliseconds(50);

}  // namespace poplarfork::dispatch
