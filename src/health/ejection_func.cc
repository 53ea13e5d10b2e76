#include "health/ejection_func.h"

#include <algorithm>

#include "health/ledger_func.h"
#include "health/rate_func.h"
#include "health/recovery_func.h"

namespace poplarfork::health {

namespace {

constexpr std::uint32_t kMaxHoldDownLevel = 6;

const LedgerEntry* FindEntry(const Ledger& ledger,
                             const UpstreamState& upstream) {
  for (const LedgerEntry& entry : ledger.ejected) {
    if (entry.upstream == upstream.id)
      return &entry;
  }
  return nullptr;
}

void StartEjection(ServiceHealth& health,
                   std::uint32_t index,
                   const LedgerEntry& entry,
                   base::TimePoint now,
                   Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  AppliedEjection& ejection = upstream.ejection;
  const bool is_new = ejection.sequence != entry.sequence;
  if (!is_new && now - ejection.first_seen >= ejection.hold_down)
    return;
  if (is_new) {
    ejection.sequence = entry.sequence;
    ejection.first_seen = now;
    ejection.hold_down = entry.hold_down;
    upstream.hold_down_level =
        std::min(upstream.hold_down_level + 1, kMaxHoldDownLevel);
  }
  ejection.active = true;
  upstream.phase = Phase::kAvoided;
  upstream.phase_since = now;
  upstream.hold_down_until = now;
  upstream.suspicion =
      std::max(upstream.suspicion, health.parameters.fleet_threshold);
  upstream.detector_state = DetectorState{};
  SubtractUpstreamCounts(health, index, now);
  ++health.view_version;
  AddRecovering(health, index);
  Action action;
  action.kind = ActionKind::kApplyEjection;
  action.reason = Reason::kFleetEjection;
  action.upstream = upstream.id;
  action.inputs.duration = ejection.hold_down;
  FillSlotInputs(health, now, action.inputs);
  actions.push_back(action);
}

void EndEjection(ServiceHealth& health,
                 std::uint32_t index,
                 Reason reason,
                 base::TimePoint now,
                 Actions& actions) {
  health.upstreams[index].ejection.active = false;
  StartTrial(health, index, reason, now, actions);
}

}  // namespace

bool ApplyLedger(ServiceHealth& health,
                 const Ledger& ledger,
                 base::TimePoint now,
                 Actions& actions) {
  const bool stale =
      health.ledger.known && ledger.version < health.ledger.ledger.version;
  if (stale || ledger.service != health.service || now < health.ignore_until)
    return false;
  health.ledger.ledger = ledger;
  health.ledger.known = true;
  health.ledger.last_confirmed = now;
  for (std::uint32_t i = 0; i < health.upstreams.size(); ++i) {
    const UpstreamState& upstream = health.upstreams[i];
    const LedgerEntry* entry = FindEntry(ledger, upstream);
    const bool same_ejection =
        entry != nullptr && entry->sequence == upstream.ejection.sequence;
    if (entry == nullptr && upstream.ejection.active)
      EndEjection(health, i, Reason::kEjectionExpired, now, actions);
    else if (entry != nullptr && !(same_ejection && upstream.ejection.active))
      StartEjection(health, i, *entry, now, actions);
  }
  UpdateKeptForFloor(health, now, actions);
  return true;
}

void EndExpiredEjections(ServiceHealth& health,
                         base::TimePoint now,
                         Actions& actions) {
  const bool confirmed =
      health.ledger.known &&
      now - health.ledger.last_confirmed < kLedgerConfirmationTimeout;
  const std::vector<std::uint32_t> recovering = health.recovering;
  for (const std::uint32_t index : recovering) {
    const AppliedEjection& ejection = health.upstreams[index].ejection;
    if (!ejection.active)
      continue;
    if (now - ejection.first_seen >= ejection.hold_down)
      EndEjection(health, index, Reason::kEjectionExpired, now, actions);
    else if (!confirmed)
      EndEjection(health, index, Reason::kLedgerUnconfirmed, now, actions);
  }
}

}  // namespace poplarfork::health
