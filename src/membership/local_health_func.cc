#include "membership/local_health_func.h"

#include <algorithm>
#include <string>

#include "membership/limits_type.h"
#include "membership/member_list_func.h"

namespace poplarfork::membership {

namespace {

// Reports when the health penalty reaches its maximum and when it has fallen
// back to 0.
void ReportDegradation(Membership& membership, Actions& actions) {
  LocalHealth& health = membership.health;
  const bool is_degraded = health.penalty == kMaxHealthPenalty;
  const bool is_healthy = health.penalty == 0;
  if (is_degraded && !health.is_degradation_reported) {
    ReportChange(actions, ChangeKind::kSelfDegraded,
                 membership.local_member.daemon,
                 membership.local_member.incarnation, {},
                 "ticks of this daemon were late or its probes failed");
    health.is_degradation_reported = true;
  }
  if (is_healthy && health.is_degradation_reported) {
    ReportChange(actions, ChangeKind::kSelfRecovered,
                 membership.local_member.daemon,
                 membership.local_member.incarnation, {},
                 "probes of this daemon are acknowledged again");
    health.is_degradation_reported = false;
  }
}

// Changes the health penalty by `amount`, which may be negative.
void AdjustHealthPenalty(Membership& membership, int amount, Actions& actions) {
  int& penalty = membership.health.penalty;
  penalty = std::clamp(penalty + amount, 0, kMaxHealthPenalty);
  ReportDegradation(membership, actions);
}

// Discards the open probes and moves the deadlines of all suspicions by
// `delay`.
void DiscardProbesAndExtendSuspicions(Membership& membership,
                                      base::Duration delay) {
  membership.open_probes.clear();
  for (const base::DaemonId& daemon : membership.suspects) {
    Member* member = FindMember(membership, daemon);
    if (member != nullptr)
      member->deadline += delay;
  }
}

}  // namespace

void RecordTick(Membership& membership, base::TimePoint now, Actions& actions) {
  LocalHealth& health = membership.health;
  const base::Duration delay = now - health.last_tick_at - kTickInterval;
  health.last_tick_at = now;
  if (delay <= kLateTickThreshold)
    return;
  health.has_had_late_tick = true;
  health.last_late_tick_at = now;
  DiscardProbesAndExtendSuspicions(membership, delay);
  const auto steps =
      std::min<std::int64_t>(delay / kLateTickThreshold, kMaxHealthPenalty);
  AdjustHealthPenalty(membership, static_cast<int>(steps), actions);
}

void RecordAck(Membership& membership, base::TimePoint now, Actions& actions) {
  membership.health.last_ack_at = now;
  AdjustHealthPenalty(membership, -1, actions);
}

void RecordFailedProbe(Membership& membership,
                       base::TimePoint now,
                       Actions& actions) {
  if (now - membership.health.last_ack_at > kSilenceThreshold)
    AdjustHealthPenalty(membership, 1, actions);
}

bool MaySuspectMembers(const Membership& membership, base::TimePoint now) {
  const LocalHealth& health = membership.health;
  if (health.has_had_late_tick &&
      now - health.last_late_tick_at < kSuspicionHoldoff)
    return false;
  if (CountLiveMembers(membership) < kMinMembersForIsolation)
    return true;
  return now - health.last_ack_at <= kIsolationThreshold;
}

base::Duration ScaleTimeout(const Membership& membership,
                            base::Duration timeout) {
  return timeout * (1 + membership.health.penalty);
}

}  // namespace poplarfork::membership
