#include "health/coordinator_func.h"

#include <algorithm>
#include <utility>

#include "health/crash_func.h"
#include "health/ledger_func.h"
#include "health/pooled_func.h"
#include "health/rate_func.h"
#include "health/recovery_func.h"
#include "health/service_health_func.h"

namespace poplarfork::health {

namespace {

// An upstream that was recently avoided is reported at this interval even if
// there are no new failures.
constexpr base::Duration kAvoidReportInterval = std::chrono::seconds(2);
constexpr base::Duration kReadRetryInterval = std::chrono::seconds(5);
constexpr base::Duration kWriteTimeout = std::chrono::seconds(5);
// An avoidance is reported as agreement with other daemons only for this time.
// After that it shows only that the hold-down is still running, and two daemons
// that report it would keep each other's agreement alive indefinitely.
constexpr base::Duration kRecentAvoidanceTime = std::chrono::seconds(5);
// A declined ejection of the same upstream is logged at most once in this
// interval.
constexpr base::Duration kDeclineLogInterval = std::chrono::seconds(10);

bool WasRecentlyAvoided(const UpstreamState& upstream, base::TimePoint now) {
  return upstream.phase == Phase::kAvoided && !upstream.ejection.active &&
         now - upstream.phase_since < kRecentAvoidanceTime;
}

bool NeedsReport(const UpstreamState& upstream, base::TimePoint now) {
  if (upstream.unreported_failures > 0 || upstream.unreported_slow > 0)
    return true;
  return WasRecentlyAvoided(upstream, now) &&
         now - upstream.last_avoid_report >= kAvoidReportInterval;
}

ReportItem TakeReportItem(UpstreamState& upstream, base::TimePoint now) {
  ReportItem item;
  item.upstream = upstream.id;
  item.failures = std::exchange(upstream.unreported_failures, 0);
  item.slow = std::exchange(upstream.unreported_slow, 0);
  item.avoiding = WasRecentlyAvoided(upstream, now);
  upstream.last_avoid_report = now;
  return item;
}

// Discards the counts of bad requests that have not been reported yet. While
// the service sheds load, bad requests are attributed to the load and are not
// reported.
void DiscardUnreportedCounts(ServiceHealth& health) {
  for (const SavedEvidence& saved : health.saved_evidence) {
    health.upstreams[saved.upstream_index].unreported_failures = 0;
    health.upstreams[saved.upstream_index].unreported_slow = 0;
  }
}

HealthReport BuildReport(ServiceHealth& health, base::TimePoint now) {
  HealthReport report;
  report.service = health.service;
  report.observer = health.self.daemon;
  report.data_centre = health.self.data_centre;
  report.request_rate = RequestRate(health, now);
  if (health.shedding)
    DiscardUnreportedCounts(health);
  // Only upstreams that had a request since the last tick and upstreams that
  // are recovering can have something to report.
  for (const SavedEvidence& saved : health.saved_evidence) {
    UpstreamState& upstream = health.upstreams[saved.upstream_index];
    if (NeedsReport(upstream, now))
      report.items.push_back(TakeReportItem(upstream, now));
  }
  for (const std::uint32_t index : health.recovering) {
    UpstreamState& upstream = health.upstreams[index];
    if (NeedsReport(upstream, now))
      report.items.push_back(TakeReportItem(upstream, now));
  }
  report.losses = std::exchange(health.unreported_losses, {});
  return report;
}

LedgerCapacity ComputeLedgerCapacity(const ServiceHealth& health) {
  LedgerCapacity capacity;
  capacity.floor = health.policy.floor;
  const Ledger& ledger = health.ledger.ledger;
  for (const UpstreamState& upstream : health.upstreams) {
    capacity.listed_slots += upstream.slots;
    const auto is_upstream = [&upstream](const LedgerEntry& entry) {
      return entry.upstream == upstream.id;
    };
    const bool in_ledger =
        std::any_of(ledger.ejected.begin(), ledger.ejected.end(),
                    is_upstream) ||
        std::any_of(ledger.removed.begin(), ledger.removed.end(), is_upstream);
    if (upstream.draining && !in_ledger)
      capacity.draining_slots += upstream.slots;
  }
  return capacity;
}

void AddDeclineAction(PooledUpstream& pooled,
                      const base::UpstreamId& upstream,
                      Reason reason,
                      const DecisionInputs& inputs,
                      base::TimePoint now,
                      Actions& actions) {
  if (now < pooled.next_decline_log)
    return;
  pooled.next_decline_log = now + kDeclineLogInterval;
  Action action;
  action.kind = ActionKind::kDeclineEjection;
  action.reason = reason;
  action.upstream = upstream;
  action.inputs = inputs;
  actions.push_back(action);
}

DecisionInputs CollectDecisionInputs(const ServiceHealth& health,
                                     const PooledResult& result,
                                     const LedgerCapacity& capacity,
                                     base::TimePoint now) {
  DecisionInputs inputs;
  FillSlotInputs(health, now, inputs);
  inputs.outcome_score = result.score;
  inputs.threshold = health.parameters.fleet_threshold;
  inputs.observers = result.observers;
  inputs.data_centres = result.data_centres;
  inputs.listed_slots = capacity.listed_slots;
  return inputs;
}

// Adds the ejection of one suspect upstream to `next` if it is allowed, and
// describes it in `write_action`. Adds a decline action if the evidence shows a
// fault but the upstream must not be ejected.
void AddEjectionIfAllowed(ServiceHealth& health,
                          const base::UpstreamId& id,
                          PooledUpstream& pooled,
                          base::TimePoint now,
                          Ledger& next,
                          Action& write_action,
                          Actions& actions) {
  const auto found = health.index_by_id.find(id);
  if (found == health.index_by_id.end())
    return;
  const UpstreamState& upstream = health.upstreams[found->second];
  if (upstream.ejection.active || upstream.draining)
    return;
  const PooledResult result =
      EvaluatePooledEvidence(health, found->second, now);
  if (result.reason == Reason::kNone)
    return;
  const LedgerCapacity capacity = ComputeLedgerCapacity(health);
  const DecisionInputs inputs =
      CollectDecisionInputs(health, result, capacity, now);
  if (result.reason != Reason::kObserversAgree) {
    AddDeclineAction(pooled, id, result.reason, inputs, now, actions);
    return;
  }
  if (health.shedding || IsPooledEvidenceServiceWide(health, now)) {
    AddDeclineAction(pooled, id, Reason::kServiceWide, inputs, now, actions);
    return;
  }
  const EjectionCheck check = CheckEjection(next, capacity, id, upstream.slots);
  if (check == EjectionCheck::kBelowFloor) {
    AddDeclineAction(pooled, id, Reason::kFloor, inputs, now, actions);
    return;
  }
  if (check != EjectionCheck::kAllowed)
    return;
  next = AddEjection(next, id, upstream.slots,
                     HoldDownDuration(upstream.hold_down_level));
  write_action.upstream = id;
  write_action.reason = Reason::kObserversAgree;
  write_action.inputs = inputs;
}

std::vector<std::uint64_t> ExpiredSequences(const ServiceHealth& health,
                                            base::TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const LedgerEntry& entry : health.ledger.ledger.ejected) {
    const auto found = health.index_by_id.find(entry.upstream);
    if (found == health.index_by_id.end()) {
      expired.push_back(entry.sequence);
      continue;
    }
    const AppliedEjection& ejection = health.upstreams[found->second].ejection;
    if (ejection.sequence == entry.sequence &&
        now - ejection.first_seen >= entry.hold_down)
      expired.push_back(entry.sequence);
  }
  return expired;
}

// Records when each removed entry was first seen and returns the sequences of
// those whose capacity may be used again.
std::vector<std::uint64_t> ReleasableSequences(ServiceHealth& health,
                                               base::TimePoint now) {
  auto& first_seen = health.coordinator.removed_first_seen;
  std::map<std::uint64_t, base::TimePoint> still_removed;
  std::vector<std::uint64_t> releasable;
  for (const LedgerEntry& entry : health.ledger.ledger.removed) {
    const auto known = first_seen.find(entry.sequence);
    const base::TimePoint since =
        known == first_seen.end() ? now : known->second;
    still_removed[entry.sequence] = since;
    if (now - since >= kRemovedEntryLifetime)
      releasable.push_back(entry.sequence);
  }
  first_seen = still_removed;
  return releasable;
}

void RequestLedgerRead(ServiceHealth& health,
                       base::TimePoint now,
                       Actions& actions) {
  health.coordinator.read_pending = true;
  health.coordinator.last_read = now;
  Action action;
  action.kind = ActionKind::kReadLedger;
  action.reason = Reason::kSchedule;
  actions.push_back(action);
}

void ReadLedgerIfDue(ServiceHealth& health,
                     base::TimePoint now,
                     Actions& actions) {
  const CoordinatorState& coordinator = health.coordinator;
  const Ledger& ledger = health.ledger.ledger;
  const bool empty = ledger.ejected.empty() && ledger.removed.empty();
  const bool never = coordinator.last_read == base::TimePoint{};
  const bool due = never || now - coordinator.last_read >= kReadRetryInterval;
  if (due && (!health.ledger.known || coordinator.read_pending || !empty))
    RequestLedgerRead(health, now, actions);
}

Ledger ComputeNextLedger(ServiceHealth& health,
                         base::TimePoint now,
                         Action& write_action,
                         Actions& actions) {
  Ledger next = health.ledger.ledger;
  const std::vector<std::uint64_t> expired = ExpiredSequences(health, now);
  if (!expired.empty()) {
    next = ExpireEjections(next, expired);
    write_action.reason = Reason::kEjectionExpired;
  }
  const std::vector<std::uint64_t> releasable =
      ReleasableSequences(health, now);
  if (!releasable.empty()) {
    next = ReleaseRemovedEntries(next, releasable);
    write_action.reason = Reason::kCapacityReusable;
  }
  for (auto& [id, pooled] : health.coordinator.upstreams)
    AddEjectionIfAllowed(health, id, pooled, now, next, write_action, actions);
  return next;
}

void WriteLedgerIfChanged(ServiceHealth& health,
                          base::TimePoint now,
                          Actions& actions) {
  CoordinatorState& coordinator = health.coordinator;
  if (coordinator.write_pending &&
      now - coordinator.last_write >= kWriteTimeout) {
    coordinator.write_pending = false;
    RequestLedgerRead(health, now, actions);
  }
  if (!health.ledger.known || coordinator.read_pending ||
      coordinator.write_pending)
    return;
  Action write_action;
  write_action.kind = ActionKind::kWriteLedger;
  write_action.ledger = ComputeNextLedger(health, now, write_action, actions);
  if (write_action.ledger == health.ledger.ledger)
    return;
  coordinator.write_pending = true;
  coordinator.last_write = now;
  actions.push_back(write_action);
}

}  // namespace

bool IsCoordinator(const ServiceHealth& health) {
  return SelectCoordinator(health.service, health.members) ==
         health.self.daemon;
}

void SendReport(ServiceHealth& health, base::TimePoint now, Actions& actions) {
  if (!health.detector.uses_attribution)
    return;
  HealthReport report = BuildReport(health, now);
  if (report.items.empty() && report.losses.empty())
    return;
  if (IsCoordinator(health)) {
    HandleReport(health, report, now, actions);
    return;
  }
  Action action;
  action.kind = ActionKind::kSendReport;
  action.reason = Reason::kSchedule;
  action.peer = SelectCoordinator(health.service, health.members);
  action.report = std::move(report);
  if (!action.peer.value.empty())
    actions.push_back(action);
}

void HandleReport(ServiceHealth& health,
                  const HealthReport& report,
                  base::TimePoint now,
                  Actions& actions) {
  if (report.service != health.service)
    return;
  AddPooledEvidence(health, report, now);
  for (const ConnectionLoss& loss : report.losses) {
    const LossAttribution attribution =
        RecordLoss(health, loss.fingerprint, loss.upstream, now);
    if (attribution != LossAttribution::kCrashRequest)
      continue;
    Action action;
    action.kind = ActionKind::kAnnounceFingerprint;
    action.reason = Reason::kCrashRequest;
    action.fingerprint = loss.fingerprint;
    action.upstream = loss.upstream;
    actions.push_back(action);
  }
}

void RunCoordinator(ServiceHealth& health,
                    base::TimePoint now,
                    Actions& actions) {
  if (!health.detector.uses_attribution || !IsCoordinator(health))
    return;
  ReadLedgerIfDue(health, now, actions);
  WriteLedgerIfChanged(health, now, actions);
  ExpirePooledEvidence(health, now);
}

void SendLedgerToGroup(ServiceHealth& health,
                       base::TimePoint now,
                       Actions& actions) {
  health.coordinator.read_pending = false;
  const Ledger& ledger = health.ledger.ledger;
  const bool empty = ledger.ejected.empty() && ledger.removed.empty();
  if (!IsCoordinator(health) || empty)
    return;
  health.coordinator.last_ledger_send = now;
  Action action;
  action.kind = ActionKind::kSendLedger;
  action.reason = Reason::kSchedule;
  action.ledger = ledger;
  actions.push_back(action);
}

void HandleLedgerWriteFinished(ServiceHealth& health,
                               const LedgerWriteFinished& event,
                               base::TimePoint now,
                               Actions& actions) {
  if (!health.coordinator.write_pending)
    return;
  health.coordinator.write_pending = false;
  if (!event.succeeded) {
    RequestLedgerRead(health, now, actions);
    return;
  }
  Action action;
  action.kind = ActionKind::kSendLedger;
  action.reason = Reason::kFleetEjection;
  action.ledger = event.ledger;
  actions.push_back(action);
}

}  // namespace poplarfork::health
