#pragma once

#include "daemon/daemon_type.h"
#include "health/ledger_type.h"

namespace poplarfork::daemon {

// Reads a service's ejection ledger from the store and passes it to the health
// state. If the store does not reply, the health state gets no event, so that
// ejections expire.
void ReadLedger(Daemon& daemon, const base::ServiceId& service);

// Writes a service's ejection ledger to the store by compare-and-swap on its
// version.
void WriteLedger(Daemon& daemon,
                 const base::ServiceId& service,
                 const health::Ledger& ledger);

}  // namespace poplarfork::daemon
