#pragma once

#include <memory>

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Returns whether a request is for the fleet itself and not for a service. The
// path of such a request starts with "/.poplarfork/v1/".
bool IsFleetPath(const edge::HttpRequest& request);

// Responds to a request for the fleet itself: for the addresses that a caller
// should use, for a new idempotency key, or for whether this daemon is serving.
void OnFleetRequest(Daemon& daemon,
                    const std::shared_ptr<edge::Exchange>& caller_exchange,
                    const edge::HttpRequest& request);

}  // namespace poplarfork::daemon
