#include "health/coordinator_func.h"

#include <algorithm>
#include <utility>

#include "health/crash_func.h"
#include "health/ledger_func.h"
#include "health/pooled_func.h"
#include "health/rate_func.h"
#include "health/return_func.h"
#include "health/service_health_func.h"

namespace poplarfork::health {

namespace {

// An upstream that was recently avoided is reported at this interval even if
// there are no new failures.
constexpr base::Duration kAvoidReportInterval = std::chrono::seconds(2);
constexpr base::Duration kReadRetry = std::chrono::seconds(5);
constexpr base::Duration kWriteTimeout = std::chrono::seconds(5);
// An avoidance is reported as agreement with other daemons only for this time.
// After that it shows only that the hold-down is still running, and two daemons
// that report it would keep each other's agreement alive indefinitely.
constexpr base::Duration kFreshAvoidance = std::chrono::seconds(5);
// A declined ejection of the same upstream is logged at most once in this
// interval.
constexpr base::Duration kDeclineLogInterval = std::chrono::seconds(10);

bool AvoidsFreshly(const UpstreamState& upstream, base::TimePoint now) {
  return upstream.phase == Phase::kAvoided && !upstream.ejection.active &&
         now - upstream.phase_since < kFreshAvoidance;
}

bool NeedsReport(const UpstreamState& upstream, base::TimePoint now) {
  if (upstream.unreported_failures > 0 || upstream.unreported_slow > 0)
    return true;
  return AvoidsFreshly(upstream, now) &&
         now - upstream.last_avoid_report >= kAvoidReportInterval;
}

ReportItem TakeItem(UpstreamState& upstream, base::TimePoint now) {
  ReportItem item;
  item.upstream = upstream.id;
  item.failures = std::exchange(upstream.unreported_failures, 0);
  item.slow = std::exchange(upstream.unreported_slow, 0);
  item.avoiding = AvoidsFreshly(upstream, now);
  upstream.last_avoid_report = now;
  return item;
}

// Discards the counts of bad requests that have not been reported yet. While
// the service sheds load, bad requests are attributed to the load and are not
// reported.
void DropUnreported(ServiceHealth& health) {
  for (const SavedEvidence& saved : health.saved) {
    health.upstreams[saved.upstream].unreported_failures = 0;
    health.upstreams[saved.upstream].unreported_slow = 0;
  }
}

HealthReport TakeReport(ServiceHealth& health, base::TimePoint now) {
  HealthReport report;
  report.service = health.service;
  report.observer = health.self.daemon;
  report.data_centre = health.self.data_centre;
  report.request_rate = RequestRate(health, now);
  if (health.shedding)
    DropUnreported(health);
  // Only upstreams that had a request since the last tick and upstreams that
  // are recovering can have something to report.
  for (const SavedEvidence& saved : health.saved) {
    UpstreamState& upstream = health.upstreams[saved.upstream];
    if (NeedsReport(upstream, now))
      report.items.push_back(TakeItem(upstream, now));
  }
  for (const std::uint32_t index : health.limited) {
    UpstreamState& upstream = health.upstreams[index];
    if (NeedsReport(upstream, now))
      report.items.push_back(TakeItem(upstream, now));
  }
  report.losses = std::exchange(health.unreported_losses, {});
  return report;
}

LedgerCapacity CapacityOf(const ServiceHealth& health) {
  LedgerCapacity capacity;
  capacity.floor = health.policy.floor;
  const Ledger& ledger = health.ledger.ledger;
  for (const UpstreamState& upstream : health.upstreams) {
    capacity.listed += upstream.slots;
    const auto names = [&upstream](const LedgerEntry& entry) {
      return entry.upstream == upstream.id;
    };
    const bool in_ledger =
        std::any_of(ledger.ejected.begin(), ledger.ejected.end(), names) ||
        std::any_of(ledger.removed.begin(), ledger.removed.end(), names);
    if (upstream.draining && !in_ledger)
      capacity.draining += upstream.slots;
  }
  return capacity;
}

void Decline(PooledUpstream& pooled,
             const base::UpstreamId& upstream,
             Reason reason,
             const DecisionInputs& inputs,
             base::TimePoint now,
             Actions& actions) {
  if (now < pooled.declined_until)
    return;
  pooled.declined_until = now + kDeclineLogInterval;
  Action action;
  action.kind = ActionKind::kDeclineEjection;
  action.reason = reason;
  action.upstream = upstream;
  action.inputs = inputs;
  actions.push_back(action);
}

DecisionInputs InputsOf(const ServiceHealth& health,
                        const PooledVerdict& verdict,
                        const LedgerCapacity& capacity,
                        base::TimePoint now) {
  DecisionInputs inputs;
  FillCapacity(health, now, inputs);
  inputs.outcome_score = verdict.score;
  inputs.threshold = health.parameters.fleet_threshold;
  inputs.observers = verdict.observers;
  inputs.data_centres = verdict.data_centres;
  inputs.listed_slots = capacity.listed;
  return inputs;
}

// Adds the ejection of one suspect upstream to `next` if it is allowed, and
// describes it in `write_action`. Adds a decline action if the evidence shows a
// fault but the upstream must not be ejected.
void ConsiderEjection(ServiceHealth& health,
                      const base::UpstreamId& id,
                      PooledUpstream& pooled,
                      base::TimePoint now,
                      Ledger& next,
                      Action& decided,
                      Actions& actions) {
  const auto found = health.index.find(id);
  if (found == health.index.end())
    return;
  const UpstreamState& upstream = health.upstreams[found->second];
  if (upstream.ejection.active || upstream.draining)
    return;
  const PooledVerdict verdict = JudgePooled(health, found->second, now);
  if (verdict.reason == Reason::kNone)
    return;
  const LedgerCapacity capacity = CapacityOf(health);
  const DecisionInputs inputs = InputsOf(health, verdict, capacity, now);
  if (verdict.reason != Reason::kObserversAgree) {
    Decline(pooled, id, verdict.reason, inputs, now, actions);
    return;
  }
  if (health.shedding || PooledEvidenceIsServiceWide(health, now)) {
    Decline(pooled, id, Reason::kServiceWide, inputs, now, actions);
    return;
  }
  const EjectionVerdict allowed =
      TestEjection(next, capacity, id, upstream.slots);
  if (allowed == EjectionVerdict::kBelowFloor) {
    Decline(pooled, id, Reason::kFloor, inputs, now, actions);
    return;
  }
  if (allowed != EjectionVerdict::kAllowed)
    return;
  next = ApplyEjection(next, id, upstream.slots, HoldDown(upstream.hold_level));
  decided.upstream = id;
  decided.reason = Reason::kObserversAgree;
  decided.inputs = inputs;
}

std::vector<std::uint64_t> ExpiredSequences(const ServiceHealth& health,
                                            base::TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const LedgerEntry& entry : health.ledger.ledger.ejected) {
    const auto found = health.index.find(entry.upstream);
    if (found == health.index.end()) {
      expired.push_back(entry.sequence);
      continue;
    }
    const AppliedEjection& ejection = health.upstreams[found->second].ejection;
    if (ejection.sequence == entry.sequence &&
        now - ejection.seen >= entry.hold)
      expired.push_back(entry.sequence);
  }
  return expired;
}

// Records when each removed entry was first seen and returns the sequences of
// those whose capacity may be used again.
std::vector<std::uint64_t> ReleasableSequences(ServiceHealth& health,
                                               base::TimePoint now) {
  auto& seen = health.coordinator.removed_seen;
  std::map<std::uint64_t, base::TimePoint> still;
  std::vector<std::uint64_t> releasable;
  for (const LedgerEntry& entry : health.ledger.ledger.removed) {
    const auto known = seen.find(entry.sequence);
    const base::TimePoint since = known == seen.end() ? now : known->second;
    still[entry.sequence] = since;
    if (now - since >= kRemovedCountTime)
      releasable.push_back(entry.sequence);
  }
  seen = still;
  return releasable;
}

void ReadLedger(ServiceHealth& health, base::TimePoint now, Actions& actions) {
  health.coordinator.read_pending = true;
  health.coordinator.last_read = now;
  Action action;
  action.kind = ActionKind::kReadLedger;
  action.reason = Reason::kSchedule;
  actions.push_back(action);
}

void TickReads(ServiceHealth& health, base::TimePoint now, Actions& actions) {
  const CoordinatorState& coordinator = health.coordinator;
  const Ledger& ledger = health.ledger.ledger;
  const bool empty = ledger.ejected.empty() && ledger.removed.empty();
  const bool never = coordinator.last_read == base::TimePoint{};
  const bool due = never || now - coordinator.last_read >= kReadRetry;
  if (due && (!health.ledger.known || coordinator.read_pending || !empty))
    ReadLedger(health, now, actions);
}

Ledger DecideLedger(ServiceHealth& health,
                    base::TimePoint now,
                    Action& decided,
                    Actions& actions) {
  Ledger next = health.ledger.ledger;
  const std::vector<std::uint64_t> expired = ExpiredSequences(health, now);
  if (!expired.empty()) {
    next = ExpireEjections(next, expired);
    decided.reason = Reason::kEjectionExpired;
  }
  const std::vector<std::uint64_t> releasable =
      ReleasableSequences(health, now);
  if (!releasable.empty()) {
    next = ReleaseRemoved(next, releasable);
    decided.reason = Reason::kCapacityReusable;
  }
  for (auto& [id, pooled] : health.coordinator.upstreams)
    ConsiderEjection(health, id, pooled, now, next, decided, actions);
  return next;
}

void TickWrites(ServiceHealth& health, base::TimePoint now, Actions& actions) {
  CoordinatorState& coordinator = health.coordinator;
  if (coordinator.write_pending &&
      now - coordinator.last_write >= kWriteTimeout) {
    coordinator.write_pending = false;
    ReadLedger(health, now, actions);
  }
  if (!health.ledger.known || coordinator.read_pending ||
      coordinator.write_pending)
    return;
  Action decided;
  decided.kind = ActionKind::kWriteLedger;
  decided.ledger = DecideLedger(health, now, decided, actions);
  if (decided.ledger == health.ledger.ledger)
    return;
  coordinator.write_pending = true;
  coordinator.last_write = now;
  actions.push_back(decided);
}

}  // namespace

bool IsCoordinator(const ServiceHealth& health) {
  return CoordinatorOf(health.service, health.members) == health.self.daemon;
}

void SendReport(ServiceHealth& health, base::TimePoint now, Actions& actions) {
  if (!health.detector.attributes)
    return;
  HealthReport report = TakeReport(health, now);
  if (report.items.empty() && report.losses.empty())
    return;
  if (IsCoordinator(health)) {
    PoolReport(health, report, now, actions);
    return;
  }
  Action action;
  action.kind = ActionKind::kSendReport;
  action.reason = Reason::kSchedule;
  action.peer = CoordinatorOf(health.service, health.members);
  action.report = std::move(report);
  if (!action.peer.value.empty())
    actions.push_back(action);
}

void PoolReport(ServiceHealth& health,
                const HealthReport& report,
                base::TimePoint now,
                Actions& actions) {
  if (report.service != health.service)
    return;
  AddPooled(health, report, now);
  for (const ConnectionLoss& loss : report.losses) {
    const LossJudgement judgement =
        NoteLoss(health, loss.fingerprint, loss.upstream, now);
    if (judgement != LossJudgement::kCrashRequest)
      continue;
    Action action;
    action.kind = ActionKind::kAnnounceFingerprint;
    action.reason = Reason::kCrashRequest;
    action.fingerprint = loss.fingerprint;
    action.upstream = loss.upstream;
    actions.push_back(action);
  }
}

void TickCoordinator(ServiceHealth& health,
                     base::TimePoint now,
                     Actions& actions) {
  if (!health.detector.attributes || !IsCoordinator(health))
    return;
  TickReads(health, now, actions);
  TickWrites(health, now, actions);
  ExpirePooled(health, now);
}

void ForwardLedger(ServiceHealth& health,
                   base::TimePoint now,
                   Actions& actions) {
  health.coordinator.read_pending = false;
  const Ledger& ledger = health.ledger.ledger;
  const bool empty = ledger.ejected.empty() && ledger.removed.empty();
  if (!IsCoordinator(health) || empty)
    return;
  health.coordinator.last_send = now;
  Action action;
  action.kind = ActionKind::kSendLedger;
  action.reason = Reason::kSchedule;
  action.ledger = ledger;
  actions.push_back(action);
}

void HandleLedgerWrite(ServiceHealth& health,
                       const LedgerWriteFinished& event,
                       base::TimePoint now,
                       Actions& actions) {
  if (!health.coordinator.write_pending)
    return;
  health.coordinator.write_pending = false;
  if (!event.succeeded) {
    ReadLedger(health, now, actions);
    return;
  }
  Action action;
  action.kind = ActionKind::kSendLedger;
  action.reason = Reason::kFleetEjection;
  action.ledger = event.ledger;
  actions.push_back(action);
}

}  // namespace poplarfork::health
