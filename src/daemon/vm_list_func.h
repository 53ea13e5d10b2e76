#pragma once

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Reads the platform's VM list if that is due. This is called on every tick.
// The interval grows with the number of live daemons, so that all daemons
// together make at most about 20 calls/s.
void FetchVmListIfDue(Daemon& daemon, base::TimePoint now);

}  // namespace poplarfork::daemon
