#pragma once

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Starts the daemon's tick timer. The periodic work runs every `tick_ms`, as
// the settings give it.
void StartTickTimer(Daemon& daemon);

}  // namespace poplarfork::daemon
