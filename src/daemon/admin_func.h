#pragma once

#include <memory>

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Responds to a request to the administration API.
void OnAdminRequest(Daemon& daemon,
                    const std::shared_ptr<edge::Exchange>& caller_exchange,
                    const edge::HttpRequest& request);

}  // namespace poplarfork::daemon
