#pragma once

#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// These functions find out whether an upstream at which a connection broke has
// crashed.

// Notes that a connection to the upstream broke at `now` while a request with
// the fingerprint ran there.
void SuspectCrash(Dispatcher& dispatcher,
                  const fleet::UpstreamEntry& entry,
                  Fingerprint fingerprint,
                  base::TimePoint now);

// Counts the broken connections to the upstream, if any, as a crash. `evidence`
// is logged.
void ConfirmCrashOf(Dispatcher& dispatcher,
                    const base::UpstreamId& upstream,
                    const char* evidence,
                    base::TimePoint now,
                    Actions& actions);

// Notes that the upstream has responded to a request that was granted at
// `granted_at`. If that is after its connections broke, it has not crashed.
void ClearSuspicionOf(Dispatcher& dispatcher,
                      const base::UpstreamId& upstream,
                      base::TimePoint granted_at,
                      Actions& actions);

// Probes the upstream if a broken connection may have been a crash and nobody
// has found out yet.
void StartDueCrashProbeOf(Dispatcher& dispatcher,
                          const base::UpstreamId& upstream,
                          base::TimePoint now,
                          Actions& actions);

// Finds out from a changed entry whether an upstream whose connections broke
// has ended: its entry is removed, it has started again, or another upstream
// has its address. Has to be called before the change is applied.
void CheckForRestart(Dispatcher& dispatcher,
                     const fleet::UpstreamRecord& record,
                     base::TimePoint now,
                     Actions& actions);

// Handles the result of a probe, which shows whether an upstream whose
// connections broke has crashed. Returns false if no crash was looked for.
bool HandleCrashProbeResult(Dispatcher& dispatcher,
                            const base::UpstreamId& upstream,
                            ProbeResult result,
                            base::TimePoint now,
                            Actions& actions);

// Probes the upstreams at which a broken connection may have been a crash and
// nobody has found out yet.
void StartDueCrashProbes(Dispatcher& dispatcher,
                         base::TimePoint now,
                         Actions& actions);

// Tells whether probes may become due.
bool NeedsCrashProbes(const Dispatcher& dispatcher, base::TimePoint now);

// Drops suspicions for which no evidence was found in time.
void ExpireSuspicions(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
