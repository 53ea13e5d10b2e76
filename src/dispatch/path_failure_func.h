#pragma once

#include <cstddef>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "dispatch/upstream_state_type.h"

namespace poplarfork::dispatch {

// Records that a daemon could not connect to the upstream or received no
// response from it in time. The daemon is not granted the upstream for a while,
// because only its own path may have failed.
void RecordPathFailure(UpstreamState& upstream,
                       const base::DaemonId& daemon,
                       base::TimePoint now);

// Returns the number of daemons whose connections to the upstream have failed
// since any daemon last received a response from it.
std::size_t CountPathFailuresSinceResponse(const UpstreamState& upstream,
                                           base::TimePoint now);

}  // namespace poplarfork::dispatch
