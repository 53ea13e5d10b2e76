#pragma once

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Handles SIGTERM and SIGINT: the first signal starts a graceful shutdown, a
// further one ends the process at once.
void OnTerminationSignal(Daemon& daemon);

// Starts a graceful shutdown: this daemon tells its peers that it is leaving,
// so that they send no more callers to it, while it still serves requests. This
// has no effect if a shutdown is already in progress.
void StartShutdown(Daemon& daemon);

// Executes the steps of a shutdown that are due. This is called on every tick.
void TickShutdown(Daemon& daemon, base::TimePoint now);

// Returns whether a shutdown is in progress.
bool IsDraining(const Daemon& daemon);

}  // namespace poplarfork::daemon
