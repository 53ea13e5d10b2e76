#include "daemon/shutdown_func.h"

#include <utility>

#include "address/drain_func.h"
#include "clock/now_func.h"
#include "daemon/membership_func.h"
#include "logging/log_func.h"
#include "membership/membership_func.h"
#include "peer/transport_func.h"

namespace poplarfork::daemon {

namespace {

const char* DrainActionName(address::DrainAction action) {
  switch (action) {
    case address::DrainAction::kAnnounceLeaving:
      return "announce_leaving";
    case address::DrainAction::kStopAccepting:
      return "stop_accepting";
    case address::DrainAction::kAbortRequests:
      return "abort_requests";
    case address::DrainAction::kExit:
      break;
  }
  return "exit";
}

void LogShutdownStep(const Daemon& daemon, address::DrainAction action) {
  auto fields = web::json::value::object();
  fields["step"] = web::json::value::string(DrainActionName(action));
  fields["requests_in_flight"] =
      web::json::value::number(daemon.requests_by_exchange.size());
  logging::WriteLogLine("shutdown", std::move(fields));
}

void FinishShutdown(Daemon& daemon) {
  ExecuteMembershipActions(daemon,
                           membership::FinishLeaving(daemon.membership));
  daemon.edge_server->Stop();
  daemon.admin_server->Stop();
  peer::CloseTransport(*daemon.transport);
  daemon.finished.set_value();
}

void ExecuteAction(Daemon& daemon, address::DrainAction action) {
  LogShutdownStep(daemon, action);
  switch (action) {
    case address::DrainAction::kAnnounceLeaving:
      ExecuteMembershipActions(daemon,
                               membership::StartLeaving(daemon.membership));
      return;
    case address::DrainAction::kStopAccepting:
      daemon.edge_server->CloseAfterResponses();
      return;
    case address::DrainAction::kAbortRequests:
      return;
    case address::DrainAction::kExit:
      FinishShutdown(daemon);
      return;
  }
}

void ExecuteActions(Daemon& daemon, const address::DrainActions& actions) {
  for (const address::DrainAction action : actions)
    ExecuteAction(daemon, action);
}

// Returns the number of connections with a request in flight. A connection that
// still writes its response counts as well.
std::size_t CountBusySessions(const Daemon& daemon) {
  return daemon.edge_server->BusySessionCount();
}

}  // namespace

bool IsDraining(const Daemon& daemon) {
  return daemon.drain.phase != address::DrainPhase::kServing;
}

void OnTerminationSignal(Daemon& daemon) {
  ExecuteActions(daemon, address::HandleSigterm(daemon.drain, clock::Now()));
}

void StartShutdown(Daemon& daemon) {
  ExecuteActions(daemon, address::StartDrain(daemon.drain, clock::Now()));
}

void TickShutdown(Daemon& daemon, base::TimePoint now) {
  ExecuteActions(daemon, address::AdvanceDrain(daemon.drain,
                                               CountBusySessions(daemon), now));
}

}  // namespace poplarfork::daemon
