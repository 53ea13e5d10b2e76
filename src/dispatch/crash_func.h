#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Tells whether requests like this one have crashed several upstreams. Load
// pattern answered: a request that crashes each upstream that runs it, and that
// its caller sends again and again.
bool CrashesUpstreams(const Dispatcher& dispatcher, const Ask& ask);

// Notes connections that broke, and counts them as crashes if the upstream
// cannot be reached right after.
void NoteCrash(Dispatcher& dispatcher,
               UpstreamState& upstream,
               const Running& running,
               Outcome outcome,
               base::TimePoint now);

// Drops records of requests that did not crash anything lately.
void ForgetCrashes(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
