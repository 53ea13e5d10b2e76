#pragma once

#include <memory>

#include "daemon/daemon_type.h"
#include "edge/exchange.h"

namespace poplarfork::daemon {

// Handles a caller's request that has arrived completely: routes and admits the
// request and starts its first attempt or its claim, or responds with a
// problem.
void OnRequest(Daemon& daemon,
               std::shared_ptr<edge::Exchange> caller_exchange,
               edge::HttpRequest http_request);

// Handles that the caller of the current request has disconnected.
// A repeatable request is cancelled at the upstream. Any other request goes on
// running, so that the caller can learn its outcome by sending it again.
void OnCallerDisconnected(
    Daemon& daemon,
    const std::shared_ptr<edge::Exchange>& caller_exchange);

}  // namespace poplarfork::daemon
