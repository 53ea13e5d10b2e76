#pragma once

#include "base/time_type.h"
#include "health/action_type.h"
#include "health/ledger_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// Adopts a ledger that is not older than the known one and applies its
// ejections. Returns false if the ledger is stale, belongs to another service
// or arrives while evidence is ignored after a stall.
bool ApplyLedger(ServiceHealth& health,
                 const Ledger& ledger,
                 base::TimePoint now,
                 Actions& actions);

// Ends ejections that have expired. Ends all ejections if the ledger has not
// been confirmed within `kLedgerConfirmationTimeout`.
void EndExpiredEjections(ServiceHealth& health,
                         base::TimePoint now,
                         Actions& actions);

}  // namespace poplarfork::health
