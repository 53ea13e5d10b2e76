#pragma once

#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Value of Retry-After for requests that crash upstreams: the next one is
// admitted much later.
inline constexpr base::Duration kCrashingRetryAfter = std::chrono::seconds(30);

// Tells whether this daemon knows that such a request has to be refused for the
// time being because it crashes upstreams, whichever daemon is the dispatcher.
bool IsKnownToCrash(Dispatcher& dispatcher,
                    const RequestFingerprints& fingerprints,
                    base::TimePoint now);

// Tells whether a slot request has to be refused because requests of its kind
// crash the upstreams that run them, or may have and it is not yet known. The
// load pattern that this handles is a request that crashes every upstream that
// runs it and that its caller sends again and again. After some time one such
// request is admitted, so that a fingerprint that was blamed for the crashes of
// others recovers.
bool IsRefusedForCrashes(Dispatcher& dispatcher,
                         const SlotRequest& slot_request,
                         base::TimePoint now);

// Records how an attempt ended. A connection that broke may be a crash of the
// upstream; it is counted as one when the upstream is then found to have ended.
// A response clears the request.
void UpdateCrashRecords(Dispatcher& dispatcher,
                        const UpstreamState& upstream,
                        const RunningAttempt& attempt,
                        Outcome outcome,
                        base::TimePoint now,
                        Actions& actions);

// Drops the records of fingerprints that have caused no crash recently, and
// suspicions for which no evidence was found in time.
void ExpireCrashRecords(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
