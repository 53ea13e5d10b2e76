#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Tells whether requests with the same fingerprint have crashed several
// upstreams. The load pattern that this handles is a request that crashes every
// upstream that runs it and that its caller sends again and again.
bool HasCrashedUpstreams(const Dispatcher& dispatcher,
                         const SlotRequest& slot_request);

// Records a connection that broke. Counts the recorded ones as crashes if
// `outcome` shows that the upstream has become unreachable right afterwards.
void UpdateCrashRecords(Dispatcher& dispatcher,
                        UpstreamState& upstream,
                        const RunningAttempt& attempt,
                        Outcome outcome,
                        base::TimePoint now);

// Drops the records of fingerprints that have caused no crash recently.
void ExpireCrashRecords(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
