#pragma once

#include "base/time_type.h"
#include "health/action_type.h"
#include "health/event_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// Returns true if this daemon is the coordinator of the service.
bool IsCoordinator(const ServiceHealth& health);

// Sends the evidence collected since the last report to the coordinator. If
// this daemon is the coordinator, it handles the report itself.
void SendReport(ServiceHealth& health, base::TimePoint now, Actions& actions);

// Adds the evidence in a report to the pooled evidence. Every daemon accepts
// reports, because daemons may disagree for a while on which of them is the
// coordinator.
void HandleReport(ServiceHealth& health,
                  const HealthReport& report,
                  base::TimePoint now,
                  Actions& actions);

// Decides ejections, expiries and releases of capacity and writes them to the
// ledger in a single write. Also requests reads of the ledger when they are
// due.
void RunCoordinator(ServiceHealth& health,
                    base::TimePoint now,
                    Actions& actions);

// Sends a ledger that this daemon read from the store to the group, if this
// daemon is the coordinator and the ledger is not empty.
void SendLedgerToGroup(ServiceHealth& health,
                       base::TimePoint now,
                       Actions& actions);

// Handles the result of a ledger write. After a success the ledger is in force
// and is sent to the group; after a failure, such as a version conflict, it is
// read again.
void HandleLedgerWriteFinished(ServiceHealth& health,
                               const LedgerWriteFinished& event,
                               base::TimePoint now,
                               Actions& actions);

}  // namespace poplarfork::health
