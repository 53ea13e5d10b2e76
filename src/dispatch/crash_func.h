#pragma once

#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Tells whether a slot request has to be refused because requests with its
// fingerprint crash the upstreams that run them. The load pattern that this
// handles is a request that crashes every upstream that runs it and that its
// caller sends again and again. After some time one such request is admitted,
// so that a fingerprint that was blamed for the crashes of others recovers.
bool IsRefusedForCrashes(Dispatcher& dispatcher,
                         const SlotRequest& slot_request,
                         base::TimePoint now);

// Records how an attempt ended. A connection that broke may be a crash of the
// upstream; it is counted as one when the upstream then refuses connections. A
// response clears the fingerprint.
void UpdateCrashRecords(Dispatcher& dispatcher,
                        UpstreamState& upstream,
                        const RunningAttempt& attempt,
                        Outcome outcome,
                        base::TimePoint now,
                        Actions& actions);

// Handles the result of a probe, which shows whether an upstream whose
// connections broke has crashed. Returns false if no crash was looked for.
bool HandleCrashProbeResult(Dispatcher& dispatcher,
                            UpstreamState& upstream,
                            ProbeResult result,
                            base::TimePoint now,
                            Actions& actions);

// Probes the upstream if a broken connection may have been a crash and nobody
// has found out yet.
void StartDueCrashProbe(const Dispatcher& dispatcher,
                        UpstreamState& upstream,
                        base::TimePoint now,
                        Actions& actions);

// Drops the records of fingerprints that have caused no crash recently.
void ExpireCrashRecords(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
