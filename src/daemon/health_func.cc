#include "daemon/health_func.h"

#include <string>
#include <utility>
#include <vector>

#include "clock/now_func.h"
#include "daemon/health_store_func.h"
#include "daemon/probe_func.h"
#include "daemon/service_runtime_func.h"
#include "health/message_func.h"
#include "health/name_func.h"
#include "health/service_health_func.h"
#include "logging/log_func.h"
#include "metrics/registry_func.h"
#include "peer/transport_func.h"
#include "upstream/pool_func.h"

namespace poplarfork::daemon {

namespace {

using health::Action;
using health::ActionKind;
using web::json::value;

void LogHealthAction(const ServiceRuntime& service, const Action& action) {
  auto fields = value::object();
  fields["service"] = value::string(service.id.value);
  fields["action"] = value::string(std::string(health::ToName(action.kind)));
  fields["reason"] = value::string(std::string(health::ToName(action.reason)));
  fields["upstream"] = value::string(action.upstream.value);
  const health::DecisionInputs& inputs = action.inputs;
  fields["outcome_score"] = value::number(inputs.outcome_score);
  fields["latency_score"] = value::number(inputs.latency_score);
  fields["threshold"] = value::number(inputs.threshold);
  fields["remaining_slots"] = value::number(inputs.remaining_slots);
  fields["floor_slots"] = value::number(inputs.floor_slots);
  fields["duration_us"] = value::number(inputs.duration.count());
  logging::WriteLogLine("health", std::move(fields));
}

void CloseConnections(Daemon& daemon,
                      const ServiceRuntime& service,
                      const base::UpstreamId& upstream) {
  if (const auto upstream_index = FindUpstreamIndex(service, upstream))
    upstream::InvalidateConnections(daemon.upstream_pool,
                                    service.upstreams[*upstream_index].address);
}

void SendToGroup(Daemon& daemon,
                 const ServiceRuntime& service,
                 proto::MessageKind kind,
                 const std::string& payload) {
  for (const routing::GroupMember& member : service.group) {
    if (member.id != daemon.self)
      (void)peer::Send(*daemon.transport, member.id, kind, payload);
  }
}

void AnnounceFingerprint(Daemon& daemon,
                         const ServiceRuntime& service,
                         std::uint64_t fingerprint) {
  SendToGroup(daemon, service, proto::CRASH_FINGERPRINT,
              health::EncodeCrashAnnouncement({service.id, fingerprint}));
}

void ExecuteAction(Daemon& daemon,
                   ServiceRuntime& service,
                   const Action& action) {
  switch (action.kind) {
    case ActionKind::kCloseConnections:
      CloseConnections(daemon, service, action.upstream);
      return;
    case ActionKind::kProbe:
      StartUpstreamProbe(daemon, service, action.upstream);
      return;
    case ActionKind::kAnnounceFingerprint:
      AnnounceFingerprint(daemon, service, action.fingerprint);
      return;
    case ActionKind::kSendReport:
      (void)peer::Send(*daemon.transport, action.peer, proto::HEALTH_REPORT,
                       health::EncodeReport(action.report));
      return;
    case ActionKind::kReadLedger:
      ReadLedger(daemon, service.id);
      return;
    case ActionKind::kWriteLedger:
      WriteLedger(daemon, service.id, action.ledger);
      return;
    case ActionKind::kSendLedger:
      SendToGroup(daemon, service, proto::LEDGER,
                  health::EncodeLedger(action.ledger));
      return;
    default:
      return;
  }
}

// Returns whether an action is a decision to be logged. Probes, reports and
// ledger messages are periodic and would fill the log without being decisions.
bool ShouldLogAction(const Action& action) {
  return action.kind != ActionKind::kProbe &&
         action.kind != ActionKind::kSendReport &&
         action.kind != ActionKind::kReadLedger &&
         action.kind != ActionKind::kSendLedger;
}

void RecordAndExecuteAction(Daemon& daemon,
                            ServiceRuntime& service,
                            const Action& action) {
  metrics::IncrementCounter(
      daemon.metrics, "poplarfork_health_actions_total{action=\"" +
                          std::string(health::ToName(action.kind)) + "\"}");
  if (ShouldLogAction(action))
    LogHealthAction(service, action);
  ExecuteAction(daemon, service, action);
}

}  // namespace

void ExecuteHealthActions(Daemon& daemon,
                          ServiceRuntime& service,
                          const health::Actions& actions) {
  for (const Action& action : actions)
    RecordAndExecuteAction(daemon, service, action);
  if (service.seen_view_version != service.health.view_version)
    RefreshCandidates(service, clock::Now());
}

void HandleHealthEvent(Daemon& daemon,
                       ServiceRuntime& service,
                       const health::Event& event) {
  const health::Actions actions =
      health::HandleEvent(service.health, event, clock::Now(), daemon.rng);
  ExecuteHealthActions(daemon, service, actions);
}

void OnCrashAnnouncement(Daemon& daemon, const peer::Message& message) {
  const auto announcement = health::DecodeCrashAnnouncement(message.payload);
  if (!announcement.has_value()) {
    metrics::IncrementCounter(
        daemon.metrics, "poplarfork_peer_malformed_total{kind=\"CRASH\"}");
    return;
  }
  const auto found = daemon.services.find(announcement.value().service);
  if (found != daemon.services.end())
    HandleHealthEvent(daemon, found->second,
                      health::CrashAnnounced{announcement.value().fingerprint});
}

void TickHealth(Daemon& daemon, base::Duration lateness, base::TimePoint now) {
  std::vector<const health::ServiceHealth*> all_services;
  for (auto& [id, service] : daemon.services) {
    HandleHealthEvent(daemon, service, health::Tick{lateness});
    RefreshCandidates(service, now);
    all_services.push_back(&service.health);
  }
  if (!health::IsObserverSuspect(all_services, now))
    return;
  for (auto& [id, service] : daemon.services)
    HandleHealthEvent(daemon, service, health::ObserverSuspected{});
}

}  // namespace poplarfork::daemon
