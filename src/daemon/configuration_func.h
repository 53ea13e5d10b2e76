#pragma once

#include <memory>

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Puts a configuration in force for new requests. Requests in flight finish
// under the configuration that routed them.
void ApplyConfiguration(
    Daemon& daemon,
    std::shared_ptr<const note::Configuration> configuration);

// Recomputes the groups of all services from the live daemons, and with them
// the services that this daemon serves. It is called after a change of
// membership or of the configuration.
void UpdateServiceGroups(Daemon& daemon);

}  // namespace poplarfork::daemon
