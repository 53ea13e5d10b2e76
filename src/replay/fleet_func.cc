#include "replay/fleet_func.h"

#include <algorithm>
#include <cmath>

#include "health/floor_func.h"
#include "health/ledger_func.h"
#include "health/service_health_func.h"
#include "replay/outcome_func.h"

namespace poplarfork::replay {

namespace {

constexpr base::Duration kMessageTime = std::chrono::milliseconds(10);
constexpr base::Duration kStoreTime = std::chrono::milliseconds(5);
constexpr base::Duration kProbeTime = std::chrono::milliseconds(25);
constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(300);
// For this time after the end of the fault, evidence from the fault may still
// be in use, so removing the upstream does not count as a false ejection.
constexpr base::Duration kFaultGrace = std::chrono::seconds(12);

// Returns true if the upstream is faulty for this daemon or was until less than
// `kFaultGraceTime` ago.
bool WasFaulty(const Fleet& fleet,
               std::uint32_t daemon,
               std::uint32_t upstream,
               base::TimePoint now) {
  Fault extended = fleet.fault;
  extended.end += kFaultGrace;
  return IsFaulty(fleet.plan.workload, extended, daemon, upstream, now);
}

// Returns true if the upstream is one of the fault's upstreams, before
// `kFaultGraceTime` after the end of the fault. This is the condition for a
// justified fleet-wide ejection.
bool FaultyAnywhere(const Fleet& fleet,
                    std::uint32_t upstream,
                    base::TimePoint now) {
  const auto& named = fleet.fault.upstreams;
  return now < fleet.fault.end + kFaultGrace &&
         std::find(named.begin(), named.end(), upstream) != named.end();
}

void SendTo(Fleet& fleet,
            std::uint32_t from,
            std::uint32_t to,
            const health::Event& event,
            base::TimePoint now) {
  if (IsCutOff(fleet.plan.workload, fleet.fault, from, to, now))
    return;
  Push(fleet, now + kMessageTime, to, EventItem{event});
}

std::uint32_t DaemonOf(const Fleet& fleet, const base::DaemonId& id) {
  for (std::uint32_t i = 0; i < fleet.daemons.size(); ++i) {
    if (fleet.daemons[i].health.self.daemon == id)
      return i;
  }
  return 0;
}

void SendToAll(Fleet& fleet,
               std::uint32_t from,
               const health::Event& event,
               base::TimePoint now) {
  for (std::uint32_t to = 0; to < fleet.daemons.size(); ++to) {
    if (to != from)
      SendTo(fleet, from, to, event, now);
  }
}

void StartProbe(Fleet& fleet,
                std::uint32_t daemon,
                const base::UpstreamId& id,
                base::TimePoint now) {
  const std::uint32_t upstream =
      fleet.daemons[daemon].health.index_by_id.at(id);
  health::ProbeFinished probe;
  probe.upstream = id;
  probe.passed =
      ProbePasses(fleet.plan.workload, fleet.fault, daemon, upstream, now);
  probe.latency = probe.passed ? kProbeTime : kProbeTimeout;
  Push(fleet, now + probe.latency, daemon, EventItem{probe});
}

void CloseConnections(Fleet& fleet,
                      std::uint32_t daemon,
                      const base::UpstreamId& id,
                      base::TimePoint now) {
  DaemonRun& run = fleet.daemons[daemon];
  Usage& usage = run.usage[run.health.index_by_id.at(id)];
  usage.pooled_connection = false;
  usage.connections_closed = now;
}

void CarryOut(Fleet& fleet,
              std::uint32_t daemon,
              const health::Action& action,
              base::TimePoint now) {
  switch (action.kind) {
    case health::ActionKind::kProbe:
      StartProbe(fleet, daemon, action.upstream, now);
      break;
    case health::ActionKind::kCloseConnections:
      CloseConnections(fleet, daemon, action.upstream, now);
      break;
    case health::ActionKind::kSendReport:
      ++fleet.measurement.reports_sent;
      SendTo(fleet, daemon, DaemonOf(fleet, action.peer),
             health::ReportReceived{action.report}, now);
      break;
    case health::ActionKind::kReadLedger:
      Push(fleet, now + kStoreTime, daemon, StoreReadItem{});
      break;
    case health::ActionKind::kWriteLedger:
      Push(fleet, now + kStoreTime, daemon, StoreWriteItem{action.ledger});
      break;
    case health::ActionKind::kSendLedger:
      SendToAll(fleet, daemon, health::LedgerReceived{action.ledger, false},
                now);
      break;
    case health::ActionKind::kAnnounceFingerprint:
      SendToAll(fleet, daemon, health::CrashAnnounced{action.fingerprint}, now);
      break;
    default:
      break;
  }
}

// Returns true if the daemon's remaining slots are below the floor although
// upstreams that are not draining are out of service. The slots are counted
// here independently of the code under test.
bool BelowFloor(const DaemonRun& run) {
  std::uint64_t listed = 0;
  std::uint64_t not_draining = 0;
  std::uint64_t remaining = 0;
  for (std::size_t i = 0; i < run.usage.size(); ++i) {
    const health::UpstreamState& upstream = run.health.upstreams[i];
    listed += upstream.slots;
    if (upstream.draining)
      continue;
    not_draining += upstream.slots;
    const Usage& usage = run.usage[i];
    if (!usage.one_at_a_time)
      remaining += static_cast<std::uint64_t>(upstream.slots * usage.weight);
  }
  const double floor = run.health.policy.floor * static_cast<double>(listed);
  return static_cast<double>(remaining) + 1e-9 < floor &&
         remaining < not_draining;
}

// Counts that a daemon stopped sending regular load to an upstream: as a
// detection if the upstream is faulty, else as a false ejection.
void NoteRemoval(Fleet& fleet,
                 std::uint32_t daemon,
                 std::uint32_t upstream,
                 base::TimePoint now) {
  Usage& usage = fleet.daemons[daemon].usage[upstream];
  if (fleet.daemons[daemon].health.upstreams[upstream].draining)
    return;
  if (!WasFaulty(fleet, daemon, upstream, now)) {
    ++fleet.measurement.false_ejections;
    return;
  }
  if (usage.detected)
    return;
  usage.detected = true;
  fleet.measurement.detections.push_back(now - fleet.fault.start);
}

// Counts the ejections that a write of the ledger adds, and a floor violation
// if the write takes away slots and leaves fewer than the floor.
void CheckLedgerWrite(Fleet& fleet,
                      const health::Ledger& before,
                      base::TimePoint now) {
  const health::ServiceHealth& any = fleet.daemons.front().health;
  std::uint64_t listed = 0;
  std::uint64_t draining = 0;
  for (const health::UpstreamState& upstream : any.upstreams) {
    listed += upstream.slots;
    draining += upstream.draining ? upstream.slots : 0;
  }
  const double left = static_cast<double>(listed) -
                      static_cast<double>(draining) -
                      static_cast<double>(CountedSlots(fleet.stored));
  const bool grew = CountedSlots(fleet.stored) > CountedSlots(before);
  if (grew && left + 1e-9 < any.policy.floor * static_cast<double>(listed))
    ++fleet.measurement.floor_violations;
  for (const health::LedgerEntry& entry : fleet.stored.ejected) {
    if (entry.sequence < before.next_sequence)
      continue;
    ++fleet.measurement.fleet_ejections;
    if (!FaultyAnywhere(fleet, any.index_by_id.at(entry.upstream), now))
      ++fleet.measurement.false_fleet_ejections;
  }
}

// Returns true if the store's reply reaches the daemon. The store is outside
// the first data centre, so a one-way partition loses its replies to the
// daemons there.
bool StoreAnswerArrives(const Fleet& fleet,
                        std::uint32_t daemon,
                        base::TimePoint now) {
  const std::uint32_t outside = 1;
  return !IsCutOff(fleet.plan.workload, fleet.fault, outside, daemon, now);
}

}  // namespace

void Feed(Fleet& fleet,
          std::uint32_t daemon,
          const health::Event& event,
          base::TimePoint now) {
  DaemonRun& run = fleet.daemons[daemon];
  const health::Actions actions =
      health::HandleEvent(run.health, event, now, run.rng);
  if (fleet.recording != nullptr && fleet.recording->daemon == daemon)
    fleet.recording->steps.push_back({now, event, actions});
  for (const health::Action& action : actions)
    CarryOut(fleet, daemon, action, now);
  const bool tick = std::holds_alternative<health::Tick>(event);
  if (run.view_version != run.health.view_version ||
      (tick && !run.health.recovering.empty()))
    UpdateUsage(fleet, daemon, now);
}

void UpdateUsage(Fleet& fleet, std::uint32_t daemon, base::TimePoint now) {
  DaemonRun& run = fleet.daemons[daemon];
  run.view_version = run.health.view_version;
  const health::RoutingView view = health::BuildRoutingView(run.health, now);
  std::vector<double> weights(run.usage.size(), 0);
  std::vector<bool> single(run.usage.size(), false);
  for (const health::RoutableUpstream& one : health::RoutableUpstreams(view)) {
    weights[one.index] = one.weight;
    single[one.index] = one.one_at_a_time;
  }
  for (std::uint32_t i = 0; i < run.usage.size(); ++i) {
    Usage& usage = run.usage[i];
    const bool before = usage.weight > 0 && !usage.one_at_a_time;
    const bool after = weights[i] > 0 && !single[i];
    usage.weight = weights[i];
    usage.one_at_a_time = single[i];
    if (before && !after)
      NoteRemoval(fleet, daemon, i, now);
  }
  if (BelowFloor(run))
    ++fleet.measurement.floor_violations;
}

void StoreRead(Fleet& fleet, std::uint32_t daemon, base::TimePoint now) {
  ++fleet.measurement.store_calls;
  if (StoreAnswerArrives(fleet, daemon, now))
    Feed(fleet, daemon, health::LedgerReceived{fleet.stored, true}, now);
}

void StoreWrite(Fleet& fleet,
                std::uint32_t daemon,
                const health::Ledger& ledger,
                base::TimePoint now) {
  ++fleet.measurement.store_calls;
  health::LedgerWriteFinished result;
  result.succeeded = ledger.version == fleet.stored.version;
  if (result.succeeded) {
    const health::Ledger before = fleet.stored;
    fleet.stored = ledger;
    fleet.stored.version = before.version + 1;
    CheckLedgerWrite(fleet, before, now);
  }
  result.ledger = fleet.stored;
  if (StoreAnswerArrives(fleet, daemon, now))
    Feed(fleet, daemon, result, now);
}

}  // namespace poplarfork::replay
