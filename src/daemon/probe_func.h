#pragma once

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Sends a request to an upstream's health endpoint on a new connection. The
// result is passed to the health state of the service, where it is only a hint.
void StartUpstreamProbe(Daemon& daemon,
                        const ServiceRuntime& service,
                        const base::UpstreamId& upstream);

}  // namespace poplarfork::daemon
