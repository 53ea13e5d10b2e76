#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Tells whether requests with the same fingerprint have crashed several
// upstreams. The load pattern that this handles is a request that crashes every
// upstream that runs it and that its caller sends again and again.
bool CrashesUpstreams(const Dispatcher& dispatcher, const Ask& ask);

// Records a connection that broke. Counts the recorded ones as crashes if
// `outcome` shows that the upstream has become unreachable right afterwards.
void NoteCrash(Dispatcher& dispatcher,
               UpstreamState& upstream,
               const Running& running,
               Outcome outcome,
               base::TimePoint now);

// Drops the records of fingerprints that have caused no crash recently.
void ForgetCrashes(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
