#include "membership/suspicion_func.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "membership/gossip_func.h"
#include "membership/limits_type.h"
#include "membership/local_health_func.h"
#include "membership/member_list_func.h"
#include "membership/neighbour_func.h"

namespace poplarfork::membership {

namespace {

// A daemon that learned of a suspicion only from another member leaves it to
// the daemons that probed the suspect to declare it dead. It declares the
// suspect dead itself only after this many suspicion timeouts.
constexpr int kReportedSuspicionFactor = 2;

base::Duration SuspicionTimeout(const Membership& membership,
                                const Member& member,
                                bool is_own_observation) {
  const base::Duration base_timeout =
      member.is_vm_missing ? kMissingVmSuspicionTimeout : kSuspicionTimeout;
  const base::Duration timeout = ScaleTimeout(membership, base_timeout);
  return is_own_observation ? timeout : timeout * kReportedSuspicionFactor;
}

bool IsNeighbour(const Membership& membership, const base::DaemonId& daemon) {
  const std::vector<base::DaemonId>& neighbours = membership.neighbours;
  return std::find(neighbours.begin(), neighbours.end(), daemon) !=
         neighbours.end();
}

// Handles a suspicion whose deadline has passed: declares the member dead, or
// extends the deadline if the member was heard directly or this daemon is not
// healthy enough.
void ExpireSuspicion(Membership& membership,
                     const base::DaemonId& daemon,
                     Member& member,
                     base::TimePoint now,
                     Actions& actions) {
  if (WasHeardRecently(member, now)) {
    member.deadline = now + kSuspicionTimeout;
    return;
  }
  if (!MaySuspectMembers(membership, now)) {
    ++membership.counters.declarations_withheld;
    member.deadline = now + kSuspicionTimeout;
    member.needs_failed_probe = true;
    return;
  }
  if (member.needs_failed_probe) {
    QueuePriorityProbe(membership, daemon);
    return;
  }
  MarkDead(
      membership, daemon, ChangeKind::kDied, {},
      member.is_vm_missing
          ? "suspicion not refuted in time, and VM missing from the VM list"
          : "suspicion not refuted in time",
      now, actions);
}

}  // namespace

bool WasHeardRecently(const Member& member, base::TimePoint now) {
  return member.has_been_heard &&
         now - member.last_heard_at <= kRecentlyHeardWindow;
}

void StartSuspicion(Membership& membership,
                    const base::DaemonId& daemon,
                    const base::DaemonId& reporter,
                    std::string reason,
                    base::TimePoint now,
                    Actions& actions) {
  Member* member = FindMember(membership, daemon);
  if (member == nullptr || !IsLive(*member))
    return;
  if (member->state == MemberState::kAlive)
    member->state = MemberState::kSuspect;
  QueueUpdate(membership, daemon);
  const base::TimePoint deadline =
      now + SuspicionTimeout(membership, *member, reporter.value.empty());
  // A further suspicion may shorten the time to refute but never extends it.
  member->deadline =
      member->is_suspected ? std::min(member->deadline, deadline) : deadline;
  if (reporter.value.empty() || IsNeighbour(membership, daemon))
    QueuePriorityProbe(membership, daemon);
  if (member->is_suspected)
    return;
  member->is_suspected = true;
  membership.suspects.insert(daemon);
  ++membership.counters.suspicions;
  ReportChange(actions, ChangeKind::kSuspected, daemon, member->incarnation,
               reporter, std::move(reason));
}

void ClearSuspicion(Membership& membership,
                    const base::DaemonId& daemon,
                    Member& member) {
  member.is_suspected = false;
  member.needs_failed_probe = false;
  member.missed_direct_acks = 0;
  membership.suspects.erase(daemon);
}

void MarkDead(Membership& membership,
              const base::DaemonId& daemon,
              ChangeKind kind,
              const base::DaemonId& reporter,
              std::string reason,
              base::TimePoint now,
              Actions& actions) {
  Member* member = FindMember(membership, daemon);
  if (member == nullptr || !IsLive(*member))
    return;
  ClearSuspicion(membership, daemon, *member);
  member->state = MemberState::kDead;
  member->deadline = now;
  ++membership.dead_count;
  ++membership.counters.deaths;
  ++membership.member_list_version;
  membership.are_neighbours_stale = true;
  QueueUpdate(membership, daemon);
  ReportChange(actions, kind, daemon, member->incarnation, reporter,
               std::move(reason));
}

void ExpireSuspicions(Membership& membership,
                      base::TimePoint now,
                      Actions& actions) {
  const std::vector<base::DaemonId> suspects(membership.suspects.begin(),
                                             membership.suspects.end());
  for (const base::DaemonId& daemon : suspects) {
    Member* member = FindMember(membership, daemon);
    if (member != nullptr && member->deadline <= now)
      ExpireSuspicion(membership, daemon, *member, now, actions);
  }
}

void PurgeDeadMembers(Membership& membership,
                      base::TimePoint now,
                      Actions& actions) {
  if (membership.dead_count == 0)
    return;
  for (auto entry = membership.members.begin();
       entry != membership.members.end();) {
    const Member& member = entry->second;
    if (IsLive(member) || now - member.deadline < kDeadMemberRetention) {
      ++entry;
      continue;
    }
    ReportChange(actions, ChangeKind::kForgotten, entry->first,
                 member.incarnation, {}, "dead for 10 minutes");
    RemoveUpdate(membership, entry->first);
    --membership.dead_count;
    entry = membership.members.erase(entry);
  }
}

}  // namespace poplarfork::membership
