#include "replay/simulated_fleet_func.h"

#include <algorithm>
#include <cmath>

#include "health/floor_func.h"
#include "health/ledger_func.h"
#include "health/service_health_func.h"
#include "replay/outcome_func.h"

namespace poplarfork::replay {

namespace {

constexpr base::Duration kMessageDelay = std::chrono::milliseconds(10);
constexpr base::Duration kStoreCallDelay = std::chrono::milliseconds(5);
constexpr base::Duration kProbeLatency = std::chrono::milliseconds(25);
constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(300);
// For this time after the end of the fault, evidence from the fault may still
// be in use, so removing the upstream does not count as a false ejection.
constexpr base::Duration kFaultGraceTime = std::chrono::seconds(12);

// Returns true if the upstream is faulty for this daemon or was until less than
// `kFaultGraceTime` ago.
bool WasRecentlyFaulty(const SimulatedFleet& fleet,
                       std::uint32_t daemon_index,
                       std::uint32_t upstream_index,
                       base::TimePoint now) {
  Fault extended_fault = fleet.fault;
  extended_fault.end += kFaultGraceTime;
  return IsFaulty(fleet.plan.workload, extended_fault, daemon_index,
                  upstream_index, now);
}

// Returns true if the upstream is one of the fault's upstreams and `now` is
// before the end of the fault plus `kFaultGraceTime`. A fleet-wide ejection is
// justified only then.
bool IsFaultyForAnyDaemon(const SimulatedFleet& fleet,
                          std::uint32_t upstream_index,
                          base::TimePoint now) {
  const auto& faulty_upstreams = fleet.fault.upstream_indices;
  return now < fleet.fault.end + kFaultGraceTime &&
         std::find(faulty_upstreams.begin(), faulty_upstreams.end(),
                   upstream_index) != faulty_upstreams.end();
}

void SendToDaemon(SimulatedFleet& fleet,
                  std::uint32_t sender,
                  std::uint32_t receiver,
                  const health::Event& event,
                  base::TimePoint now) {
  if (IsMessageLost(fleet.plan.workload, fleet.fault, sender, receiver, now))
    return;
  PushEvent(fleet, now + kMessageDelay, receiver, HealthEventDelivery{event});
}

std::uint32_t FindDaemonIndex(const SimulatedFleet& fleet,
                              const base::DaemonId& id) {
  for (std::uint32_t i = 0; i < fleet.daemons.size(); ++i) {
    if (fleet.daemons[i].health.self.daemon == id)
      return i;
  }
  return 0;
}

void SendToOtherDaemons(SimulatedFleet& fleet,
                        std::uint32_t sender,
                        const health::Event& event,
                        base::TimePoint now) {
  for (std::uint32_t receiver = 0; receiver < fleet.daemons.size();
       ++receiver) {
    if (receiver != sender)
      SendToDaemon(fleet, sender, receiver, event, now);
  }
}

void StartProbe(SimulatedFleet& fleet,
                std::uint32_t daemon_index,
                const base::UpstreamId& id,
                base::TimePoint now) {
  const std::uint32_t upstream_index =
      fleet.daemons[daemon_index].health.index_by_id.at(id);
  health::ProbeFinished probe;
  probe.upstream = id;
  probe.passed = ProbePasses(fleet.plan.workload, fleet.fault, daemon_index,
                             upstream_index, now);
  probe.latency = probe.passed ? kProbeLatency : kProbeTimeout;
  PushEvent(fleet, now + probe.latency, daemon_index,
            HealthEventDelivery{probe});
}

void CloseConnections(SimulatedFleet& fleet,
                      std::uint32_t daemon_index,
                      const base::UpstreamId& id,
                      base::TimePoint now) {
  SimulatedDaemon& simulated_daemon = fleet.daemons[daemon_index];
  UpstreamUsage& usage =
      simulated_daemon.usage[simulated_daemon.health.index_by_id.at(id)];
  usage.has_pooled_connection = false;
  usage.connections_closed_at = now;
}

void ExecuteAction(SimulatedFleet& fleet,
                   std::uint32_t daemon_index,
                   const health::Action& action,
                   base::TimePoint now) {
  switch (action.kind) {
    case health::ActionKind::kProbe:
      StartProbe(fleet, daemon_index, action.upstream, now);
      break;
    case health::ActionKind::kCloseConnections:
      CloseConnections(fleet, daemon_index, action.upstream, now);
      break;
    case health::ActionKind::kSendReport:
      ++fleet.measurement.reports_sent;
      SendToDaemon(fleet, daemon_index, FindDaemonIndex(fleet, action.peer),
                   health::ReportReceived{action.report}, now);
      break;
    case health::ActionKind::kReadLedger:
      PushEvent(fleet, now + kStoreCallDelay, daemon_index, StoreReadArrival{});
      break;
    case health::ActionKind::kWriteLedger:
      PushEvent(fleet, now + kStoreCallDelay, daemon_index,
                StoreWriteArrival{action.ledger});
      break;
    case health::ActionKind::kSendLedger:
      SendToOtherDaemons(fleet, daemon_index,
                         health::LedgerReceived{action.ledger, false}, now);
      break;
    case health::ActionKind::kAnnounceFingerprint:
      SendToOtherDaemons(fleet, daemon_index,
                         health::CrashAnnounced{action.fingerprint}, now);
      break;
    default:
      break;
  }
}

// Returns true if the daemon's remaining slots are below the floor although
// upstreams that are not draining are out of service. The slots are counted
// here independently of the code under test.
bool ViolatesFloor(const SimulatedDaemon& simulated_daemon) {
  std::uint64_t listed_slots = 0;
  std::uint64_t not_draining_slots = 0;
  std::uint64_t remaining_slots = 0;
  for (std::size_t i = 0; i < simulated_daemon.usage.size(); ++i) {
    const health::UpstreamState& upstream =
        simulated_daemon.health.upstreams[i];
    listed_slots += upstream.slots;
    if (upstream.draining)
      continue;
    not_draining_slots += upstream.slots;
    const UpstreamUsage& usage = simulated_daemon.usage[i];
    if (!usage.one_at_a_time)
      remaining_slots +=
          static_cast<std::uint64_t>(upstream.slots * usage.weight);
  }
  const double floor_slots =
      simulated_daemon.health.policy.floor * static_cast<double>(listed_slots);
  return static_cast<double>(remaining_slots) + 1e-9 < floor_slots &&
         remaining_slots < not_draining_slots;
}

// Counts that a daemon stopped sending regular load to an upstream: as a
// detection if the upstream is faulty, else as a false ejection.
void RecordRemoval(SimulatedFleet& fleet,
                   std::uint32_t daemon_index,
                   std::uint32_t upstream_index,
                   base::TimePoint now) {
  UpstreamUsage& usage = fleet.daemons[daemon_index].usage[upstream_index];
  if (fleet.daemons[daemon_index].health.upstreams[upstream_index].draining)
    return;
  if (!WasRecentlyFaulty(fleet, daemon_index, upstream_index, now)) {
    ++fleet.measurement.false_ejections;
    return;
  }
  if (usage.is_detected)
    return;
  usage.is_detected = true;
  fleet.measurement.detection_times.push_back(now - fleet.fault.start);
}

// Counts the ejections that a write of the ledger adds, and a floor violation
// if the write ejects more slots than before and fewer slots than the floor
// remain.
void MeasureLedgerWrite(SimulatedFleet& fleet,
                        const health::Ledger& previous_ledger,
                        base::TimePoint now) {
  const health::ServiceHealth& first_daemon_health =
      fleet.daemons.front().health;
  std::uint64_t listed_slots = 0;
  std::uint64_t draining_slots = 0;
  for (const health::UpstreamState& upstream : first_daemon_health.upstreams) {
    listed_slots += upstream.slots;
    draining_slots += upstream.draining ? upstream.slots : 0;
  }
  const double remaining_slots =
      static_cast<double>(listed_slots) - static_cast<double>(draining_slots) -
      static_cast<double>(CountedSlots(fleet.stored_ledger));
  const bool has_grown =
      CountedSlots(fleet.stored_ledger) > CountedSlots(previous_ledger);
  if (has_grown &&
      remaining_slots + 1e-9 <
          first_daemon_health.policy.floor * static_cast<double>(listed_slots))
    ++fleet.measurement.floor_violations;
  for (const health::LedgerEntry& entry : fleet.stored_ledger.ejected) {
    if (entry.sequence < previous_ledger.next_sequence)
      continue;
    ++fleet.measurement.fleet_ejections;
    if (!IsFaultyForAnyDaemon(
            fleet, first_daemon_health.index_by_id.at(entry.upstream), now))
      ++fleet.measurement.false_fleet_ejections;
  }
}

// Returns true if the store's reply reaches the daemon. The store is outside
// the first data centre, so a one-way partition loses its replies to the
// daemons there.
bool StoreReplyArrives(const SimulatedFleet& fleet,
                       std::uint32_t daemon_index,
                       base::TimePoint now) {
  const std::uint32_t outside_daemon_index = 1;
  return !IsMessageLost(fleet.plan.workload, fleet.fault, outside_daemon_index,
                        daemon_index, now);
}

}  // namespace

void DeliverEvent(SimulatedFleet& fleet,
                  std::uint32_t daemon_index,
                  const health::Event& event,
                  base::TimePoint now) {
  SimulatedDaemon& simulated_daemon = fleet.daemons[daemon_index];
  const health::Actions actions = health::HandleEvent(
      simulated_daemon.health, event, now, simulated_daemon.rng);
  if (fleet.recording != nullptr &&
      fleet.recording->daemon_index == daemon_index)
    fleet.recording->steps.push_back({now, event, actions});
  for (const health::Action& action : actions)
    ExecuteAction(fleet, daemon_index, action, now);
  const bool is_tick = std::holds_alternative<health::Tick>(event);
  if (simulated_daemon.view_version != simulated_daemon.health.view_version ||
      (is_tick && !simulated_daemon.health.recovering.empty()))
    UpdateUsage(fleet, daemon_index, now);
}

void UpdateUsage(SimulatedFleet& fleet,
                 std::uint32_t daemon_index,
                 base::TimePoint now) {
  SimulatedDaemon& simulated_daemon = fleet.daemons[daemon_index];
  simulated_daemon.view_version = simulated_daemon.health.view_version;
  const health::RoutingView view =
      health::BuildRoutingView(simulated_daemon.health, now);
  std::vector<double> weights(simulated_daemon.usage.size(), 0);
  std::vector<bool> one_at_a_time(simulated_daemon.usage.size(), false);
  for (const health::RoutableUpstream& routable_upstream :
       health::RoutableUpstreams(view)) {
    weights[routable_upstream.index] = routable_upstream.weight;
    one_at_a_time[routable_upstream.index] = routable_upstream.one_at_a_time;
  }
  for (std::uint32_t i = 0; i < simulated_daemon.usage.size(); ++i) {
    UpstreamUsage& usage = simulated_daemon.usage[i];
    const bool was_in_use = usage.weight > 0 && !usage.one_at_a_time;
    const bool is_in_use = weights[i] > 0 && !one_at_a_time[i];
    usage.weight = weights[i];
    usage.one_at_a_time = one_at_a_time[i];
    if (was_in_use && !is_in_use)
      RecordRemoval(fleet, daemon_index, i, now);
  }
  if (ViolatesFloor(simulated_daemon))
    ++fleet.measurement.floor_violations;
}

void HandleStoreRead(SimulatedFleet& fleet,
                     std::uint32_t daemon_index,
                     base::TimePoint now) {
  ++fleet.measurement.store_calls;
  if (StoreReplyArrives(fleet, daemon_index, now))
    DeliverEvent(fleet, daemon_index,
                 health::LedgerReceived{fleet.stored_ledger, true}, now);
}

void HandleStoreWrite(SimulatedFleet& fleet,
                      std::uint32_t daemon_index,
                      const health::Ledger& ledger,
                      base::TimePoint now) {
  ++fleet.measurement.store_calls;
  health::LedgerWriteFinished write_finished;
  write_finished.succeeded = ledger.version == fleet.stored_ledger.version;
  if (write_finished.succeeded) {
    const health::Ledger previous_ledger = fleet.stored_ledger;
    fleet.stored_ledger = ledger;
    fleet.stored_ledger.version = previous_ledger.version + 1;
    MeasureLedgerWrite(fleet, previous_ledger, now);
  }
  write_finished.ledger = fleet.stored_ledger;
  if (StoreReplyArrives(fleet, daemon_index, now))
    DeliverEvent(fleet, daemon_index, write_finished, now);
}

}  // namespace poplarfork::replay
