#include "membership/merge_func.h"

#include <algorithm>
#include <compare>
#include <utility>

#include "membership/gossip_func.h"
#include "membership/limits_type.h"
#include "membership/member_list_func.h"
#include "membership/neighbour_func.h"
#include "membership/suspicion_func.h"

namespace poplarfork::membership {

namespace {

constexpr std::uint32_t kMaxLoadPercent = 100;

// Limit on ids, addresses and names of data centres; "[IPv6]:port" needs 47
// characters.
constexpr std::size_t kMaxTextBytes = 64;

// Limit on versions in updates. A member refutes its suspicion or death with
// a version higher than that of the update, which is impossible if the update
// has the highest one.
constexpr std::uint32_t kMaxVersion = 1U << 30;

bool IsWellFormed(const proto::MemberUpdate& update) {
  return proto::MemberState_IsValid(update.state()) &&
         !update.daemon().empty() && update.daemon().size() <= kMaxTextBytes &&
         update.edge_address().size() <= kMaxTextBytes &&
         update.data_centre().size() <= kMaxTextBytes &&
         update.version() <= kMaxVersion;
}

MemberState StateInUpdate(const proto::MemberUpdate& update) {
  return static_cast<MemberState>(update.state());
}

// Returns true if `update` takes precedence over what is known about the
// member: by incarnation, then by version, then by state.
bool SupersedesMember(const proto::MemberUpdate& update, const Member& member) {
  if (update.incarnation() != member.incarnation.value)
    return update.incarnation() > member.incarnation.value;
  if (update.version() != member.version)
    return update.version() > member.version;
  return StateInUpdate(update) > member.state;
}

// Reports once that other members know a later incarnation of this daemon.
void ReportLaterIncarnation(Membership& membership,
                            const proto::MemberUpdate& update,
                            const base::DaemonId& reporter,
                            Actions& actions) {
  LocalMember& self = membership.local_member;
  if (self.is_incarnation_outdated ||
      update.incarnation() <= self.incarnation.value)
    return;
  self.is_incarnation_outdated = true;
  ReportChange(actions, ChangeKind::kIncarnationOutdated, self.daemon,
               base::Incarnation{update.incarnation()}, reporter,
               "a later incarnation at this address is known");
}

// Merges an update about this daemon. If it states that this daemon is suspect
// or dead, it is refuted with a higher version. The reporter is then probed
// first, so that it learns of the refutation soon.
void MergeUpdateAboutSelf(Membership& membership,
                          const proto::MemberUpdate& update,
                          const base::DaemonId& reporter,
                          Actions& actions) {
  LocalMember& self = membership.local_member;
  ReportLaterIncarnation(membership, update, reporter, actions);
  const bool is_suspect_or_dead =
      update.state() == proto::MEMBER_STATE_SUSPECT ||
      update.state() == proto::MEMBER_STATE_DEAD;
  if (update.incarnation() != self.incarnation.value || !is_suspect_or_dead ||
      update.version() < self.version || self.has_left)
    return;
  self.version = update.version() + 1;
  ++membership.counters.refutations;
  QueueUpdate(membership, self.daemon);
  if (FindMember(membership, reporter) != nullptr)
    QueuePriorityProbe(membership, reporter);
}

void CopyDescription(Member& member, const proto::MemberUpdate& update) {
  member.incarnation.value = update.incarnation();
  member.version = update.version();
  if (update.edge_address().empty())
    return;
  member.edge_address = update.edge_address();
  member.data_centre.value = update.data_centre();
  member.load =
      static_cast<std::uint8_t>(std::min(update.load(), kMaxLoadPercent));
}

// Copies the address, data centre and load from an update that is not newer.
// The new incarnation of a restarted member may be seen first in a probe, which
// does not contain these fields.
void CompleteDescription(Member& member, const proto::MemberUpdate& update) {
  const bool is_same = update.incarnation() == member.incarnation.value &&
                       update.version() == member.version;
  if (is_same)
    CopyDescription(member, update);
}

// Adds a member to the list, unless the update states that it is dead or lacks
// an address.
void AddMember(Membership& membership,
               const proto::MemberUpdate& update,
               const base::DaemonId& reporter,
               base::TimePoint now,
               Actions& actions) {
  const base::DaemonId daemon{update.daemon()};
  if (StateInUpdate(update) == MemberState::kDead ||
      update.edge_address().empty())
    return;
  Member& member = membership.members[daemon];
  CopyDescription(member, update);
  member.pair_weight = PairWeight(membership.local_member.daemon, daemon);
  const bool is_leaving = StateInUpdate(update) == MemberState::kLeaving;
  member.state = is_leaving ? MemberState::kLeaving : MemberState::kAlive;
  ++membership.member_list_version;
  membership.are_neighbours_stale = true;
  ReportChange(actions, ChangeKind::kJoined, daemon, member.incarnation,
               reporter,
               is_leaving ? "new member, already leaving" : "new member");
  QueueUpdate(membership, daemon);
  if (StateInUpdate(update) == MemberState::kSuspect)
    StartSuspicion(membership, daemon, reporter, "reported by a member", now,
                   actions);
}

// Applies the member's own statement that it is alive or leaving, which ends a
// suspicion and refutes its death.
void ApplyLiveState(Membership& membership,
                    const base::DaemonId& daemon,
                    Member& member,
                    const proto::MemberUpdate& update,
                    const base::DaemonId& reporter,
                    Actions& actions) {
  const bool is_restart = update.incarnation() != member.incarnation.value;
  const bool was_dead = member.state == MemberState::kDead;
  const bool was_suspected = member.is_suspected;
  const MemberState previous_state = member.state;
  CopyDescription(member, update);
  ClearSuspicion(membership, daemon, member);
  member.state = StateInUpdate(update);
  if (was_dead)
    --membership.dead_count;
  if (is_restart)
    member.is_vm_leaving = false;
  if (is_restart || was_dead || previous_state != member.state) {
    ++membership.member_list_version;
    membership.are_neighbours_stale = true;
  }
  if (is_restart) {
    ReportChange(actions, ChangeKind::kRestarted, daemon, member.incarnation,
                 reporter, "higher incarnation at the same address");
  } else if (was_dead || was_suspected) {
    ReportChange(
        actions, ChangeKind::kRefuted, daemon, member.incarnation, reporter,
        "the member refuted its suspicion or death with a higher version");
  }
  if (member.state == MemberState::kLeaving &&
      previous_state != MemberState::kLeaving)
    ReportChange(actions, ChangeKind::kLeaving, daemon, member.incarnation,
                 reporter, "stated by the member");
}

// Applies an update that states that the member is suspect or dead. A death
// that another member reports is only treated as a suspicion if this daemon has
// heard the member directly within `kRecentlyHeardWindow`, unless the member is
// leaving.
void ApplySuspectOrDeadState(Membership& membership,
                             const base::DaemonId& daemon,
                             Member& member,
                             const proto::MemberUpdate& update,
                             const base::DaemonId& reporter,
                             base::TimePoint now,
                             Actions& actions) {
  const bool is_own_statement = reporter == daemon;
  const bool is_death = StateInUpdate(update) == MemberState::kDead;
  member.incarnation.value = update.incarnation();
  member.version = update.version();
  if (is_death && is_own_statement) {
    MarkDead(membership, daemon, ChangeKind::kLeft, reporter,
             "stated by the member", now, actions);
    return;
  }
  const bool is_expected = member.state == MemberState::kLeaving;
  if (is_death && (is_expected || !WasHeardRecently(member, now))) {
    MarkDead(membership, daemon, ChangeKind::kDied, reporter,
             "reported by a member", now, actions);
    return;
  }
  StartSuspicion(membership, daemon, reporter,
                 is_death ? "reported as dead by a member, but heard directly"
                          : "reported by a member",
                 now, actions);
}

}  // namespace

void MergeUpdate(Membership& membership,
                 const proto::MemberUpdate& update,
                 const base::DaemonId& reporter,
                 base::TimePoint now,
                 Actions& actions) {
  const base::DaemonId daemon{update.daemon()};
  if (!IsWellFormed(update)) {
    ++membership.counters.malformed_inputs;
    return;
  }
  if (daemon == membership.local_member.daemon) {
    MergeUpdateAboutSelf(membership, update, reporter, actions);
    return;
  }
  Member* member = FindMember(membership, daemon);
  if (member == nullptr) {
    AddMember(membership, update, reporter, now, actions);
    return;
  }
  if (!SupersedesMember(update, *member)) {
    CompleteDescription(*member, update);
    return;
  }
  const bool is_alive = update.state() == proto::MEMBER_STATE_ALIVE ||
                        update.state() == proto::MEMBER_STATE_LEAVING;
  if (is_alive) {
    ApplyLiveState(membership, daemon, *member, update, reporter, actions);
    QueueUpdate(membership, daemon);
    return;
  }
  ApplySuspectOrDeadState(membership, daemon, *member, update, reporter, now,
                          actions);
}

bool MergeSender(Membership& membership,
                 const proto::MemberUpdate& update,
                 base::TimePoint now,
                 Actions& actions) {
  const base::DaemonId sender{update.daemon()};
  MergeUpdate(membership, update, sender, now, actions);
  Member* member = FindMember(membership, sender);
  if (member == nullptr)
    return false;
  if (update.incarnation() < member->incarnation.value)
    return true;
  member->last_heard_at = now;
  member->has_been_heard = true;
  member->load =
      static_cast<std::uint8_t>(std::min(update.load(), kMaxLoadPercent));
  return true;
}

}  // namespace poplarfork::membership
