#include "membership/doubt_func.h"

#include <algorithm>
#include <string>

#include "membership/limits_type.h"
#include "membership/view_func.h"

namespace poplarfork::membership {

namespace {

// Reports when the health penalty reaches its maximum and when it has fallen
// back to 0.
void ReportDoubt(Membership& membership, Actions& actions) {
  OwnHealth& health = membership.health;
  const bool is_doubtful = health.doubt == kMaxDoubt;
  const bool is_healthy = health.doubt == 0;
  if (is_doubtful && !health.is_doubt_reported) {
    Report(actions, ChangeKind::kDoubtStarted, membership.self.daemon,
           membership.self.incarnation, {},
           "ticks of this daemon were late or its probes failed");
    health.is_doubt_reported = true;
  }
  if (is_healthy && health.is_doubt_reported) {
    Report(actions, ChangeKind::kDoubtEnded, membership.self.daemon,
           membership.self.incarnation, {},
           "probes of this daemon are acknowledged again");
    health.is_doubt_reported = false;
  }
}

// Changes the health penalty by `amount`, which may be negative.
void AddDoubt(Membership& membership, int amount, Actions& actions) {
  int& doubt = membership.health.doubt;
  doubt = std::clamp(doubt + amount, 0, kMaxDoubt);
  ReportDoubt(membership, actions);
}

// Discards the open probes and moves the deadlines of all suspicions by
// `delay`.
void GiveBackTime(Membership& membership, base::Duration lost) {
  membership.open_probes.clear();
  for (const base::DaemonId& daemon : membership.suspects) {
    Member* member = FindMember(membership, daemon);
    if (member != nullptr)
      member->deadline += lost;
  }
}

}  // namespace

void NoteTick(Membership& membership, base::TimePoint now, Actions& actions) {
  OwnHealth& health = membership.health;
  const base::Duration late = now - health.last_tick - kTickInterval;
  health.last_tick = now;
  if (late <= kLateTick)
    return;
  health.has_been_late = true;
  health.last_late_tick = now;
  GiveBackTime(membership, late);
  const auto steps = std::min<std::int64_t>(late / kLateTick, kMaxDoubt);
  AddDoubt(membership, static_cast<int>(steps), actions);
}

void NoteAnswer(Membership& membership, base::TimePoint now, Actions& actions) {
  membership.health.last_answer = now;
  AddDoubt(membership, -1, actions);
}

void NoteSilence(Membership& membership,
                 base::TimePoint now,
                 Actions& actions) {
  if (now - membership.health.last_answer > kSilenceAge)
    AddDoubt(membership, 1, actions);
}

bool MayAccuse(const Membership& membership, base::TimePoint now) {
  const OwnHealth& health = membership.health;
  if (health.has_been_late && now - health.last_late_tick < kDoubtPeriod)
    return false;
  if (CountLive(membership) < kMinMembersForIsolation)
    return true;
  return now - health.last_answer <= kIsolationAge;
}

base::Duration Lengthen(const Membership& membership, base::Duration timeout) {
  return timeout * (1 + membership.health.doubt);
}

}  // namespace poplarfork::membership
