#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Tells whether the outcome shows that both the request and the response were
// transferred.
bool IsResponse(Outcome outcome);

// Records that a daemon received a response from an upstream or failed to, and
// returns the weight (0 to 1) of the failures that the daemon reports. The load
// pattern that this handles is a daemon whose own network paths are cut or
// lossy: its reports would otherwise count against healthy upstreams.
double RecordDaemonOutcome(Dispatcher& dispatcher,
                           const base::DaemonId& daemon,
                           const base::UpstreamId& upstream,
                           Outcome outcome,
                           base::TimePoint now);

}  // namespace poplarfork::dispatch
