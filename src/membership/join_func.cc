#include "membership/join_func.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/rng_func.h"
#include "membership/gossip_func.h"
#include "membership/limits_type.h"
#include "membership/member_list_func.h"
#include "membership/merge_func.h"

namespace poplarfork::membership {

namespace {

constexpr base::Duration kRateWindow = seconds(1);

// Returns true and counts one event if fewer than `limit` were counted in the
// current window.
bool TryAcquire(RateWindow& window, std::uint32_t limit, base::TimePoint now) {
  if (now - window.start >= kRateWindow)
    window = {now, 0};
  if (window.count >= limit)
    return false;
  ++window.count;
  return true;
}

// Asks `recipient` for up to `limit` members with ids greater than `after`. If
// this daemon lists the recipient as dead, the message also states that, so
// that the recipient can refute it.
void SendJoin(const Membership& membership,
              const base::DaemonId& recipient,
              const base::DaemonId& after,
              std::uint32_t limit,
              Actions& actions) {
  proto::Join join;
  *join.mutable_self() = MakeSelfUpdate(membership.local_member);
  join.set_revision(membership.local_member.revision.value);
  join.set_after(after.value);
  join.set_limit(limit);
  const Member* member = FindMember(membership, recipient);
  if (member != nullptr && !IsLive(*member))
    *join.mutable_accusation() = MakeMemberUpdate(recipient, *member, false);
  actions.messages.push_back(
      {recipient, proto::JOIN, join.SerializeAsString()});
}

base::DaemonId PickRandom(const std::vector<base::DaemonId>& daemons,
                          base::Rng& rng) {
  return daemons[base::UniformBelow(rng, daemons.size())];
}

void SendJoinToSeeds(Membership& membership, base::Rng& rng, Actions& actions) {
  std::vector<base::DaemonId> seeds = membership.seeds;
  std::erase(seeds, membership.local_member.daemon);
  for (std::size_t i = 0; i < kMaxJoinSeeds && !seeds.empty(); ++i) {
    const base::DaemonId seed = PickRandom(seeds, rng);
    std::erase(seeds, seed);
    SendJoin(membership, seed, {}, kMembersPerListPart, actions);
  }
}

void FinishListRead(Membership& membership, Actions& actions) {
  membership.list_cursor.source = {};
  membership.list_cursor.last_daemon = {};
  if (membership.is_list_complete)
    return;
  membership.is_list_complete = true;
  ReportChange(actions, ChangeKind::kListComplete,
               membership.local_member.daemon,
               membership.local_member.incarnation, {},
               std::to_string(CountLiveMembers(membership)) + " other members");
}

// Continues to join while no member list has been read completely: asks other
// seeds if the source has not replied for `kJoinRetryInterval`. Without other
// seeds, the list counts as complete.
void ContinueJoin(Membership& membership,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions) {
  const bool is_waiting =
      now - membership.list_cursor.requested_at < kJoinRetryInterval;
  if (is_waiting)
    return;
  membership.list_cursor = {{}, {}, now};
  std::vector<base::DaemonId> others = membership.seeds;
  std::erase(others, membership.local_member.daemon);
  if (others.empty()) {
    FinishListRead(membership, actions);
    return;
  }
  SendJoinToSeeds(membership, rng, actions);
}

// Reads one part of the member list per sync interval, each from a random
// neighbour.
void ContinueSync(Membership& membership,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions) {
  if (now < membership.next_sync_at || membership.neighbours.empty())
    return;
  membership.next_sync_at = now + membership.sync_interval;
  membership.list_cursor.source = PickRandom(membership.neighbours, rng);
  SendJoin(membership, membership.list_cursor.source,
           membership.list_cursor.last_daemon, kMembersPerListPart, actions);
}

// Returns the sync interval to its minimum if a part contained changes, and
// doubles it up to its maximum otherwise.
void AdjustSyncInterval(Membership& membership,
                        bool is_changed,
                        base::TimePoint now) {
  if (!is_changed) {
    membership.sync_interval =
        std::min(membership.sync_interval * 2, kMaxSyncInterval);
    return;
  }
  membership.sync_interval = kMinSyncInterval;
  membership.next_sync_at =
      std::min(membership.next_sync_at, now + kMinSyncInterval);
}

// Merges one member of another daemon's list. Members that are new to this
// daemon are not gossiped, since they are probably new to it alone: the updates
// about 1,000 members would take ten minutes at 8 per message and would delay
// other updates.
void MergeListedMember(Membership& membership,
                       const proto::MemberUpdate& update,
                       const base::DaemonId& reporter,
                       base::TimePoint now,
                       Actions& actions) {
  const base::DaemonId daemon{update.daemon()};
  const bool is_new = FindMember(membership, daemon) == nullptr;
  MergeUpdate(membership, update, reporter, now, actions);
  if (is_new && daemon != membership.local_member.daemon)
    RemoveUpdate(membership, daemon);
}

// Sends a join to one random dead member or unlisted seed per
// `kReconnectInterval`, so that both sides of a partition find each other
// again.
void ContactDeadOrUnknown(Membership& membership,
                          base::TimePoint now,
                          base::Rng& rng,
                          Actions& actions) {
  if (now < membership.next_reconnect_at)
    return;
  membership.next_reconnect_at = now + kReconnectInterval;
  std::vector<base::DaemonId> candidates;
  for (const auto& [daemon, member] : membership.members) {
    if (!IsLive(member))
      candidates.push_back(daemon);
  }
  for (const base::DaemonId& seed : membership.seeds) {
    if (seed != membership.local_member.daemon &&
        FindMember(membership, seed) == nullptr)
      candidates.push_back(seed);
  }
  if (!candidates.empty())
    SendJoin(membership, PickRandom(candidates, rng), {}, 0, actions);
}

}  // namespace

void TickListExchange(Membership& membership,
                      base::TimePoint now,
                      base::Rng& rng,
                      Actions& actions) {
  if (!membership.is_list_complete) {
    ContinueJoin(membership, now, rng, actions);
    return;
  }
  ContinueSync(membership, now, rng, actions);
  ContactDeadOrUnknown(membership, now, rng, actions);
}

void HandleJoin(Membership& membership,
                const proto::Join& join,
                base::TimePoint now,
                Actions& actions) {
  if (!TryAcquire(membership.list_reply_rate, kMaxListRepliesPerSecond, now)) {
    ++membership.counters.list_requests_refused;
    return;
  }
  proto::MemberList list;
  *list.mutable_self() = MakeSelfUpdate(membership.local_member);
  list.set_revision(membership.local_member.revision.value);
  list.set_after(join.after());
  const std::uint32_t limit = std::min(join.limit(), kMembersPerListPart);
  list.set_limit(limit);
  auto entry = membership.members.upper_bound(base::DaemonId{join.after()});
  // The requester is told if it is listed as dead, so that it can refute that,
  // or if a later incarnation than its own is known.
  const base::DaemonId requester{join.self().daemon()};
  const Member* known = FindMember(membership, requester);
  if (known != nullptr &&
      (!IsLive(*known) || known->incarnation.value > join.self().incarnation()))
    *list.add_members() = MakeMemberUpdate(requester, *known, false);
  for (std::uint32_t count = 0;
       count < limit && entry != membership.members.end(); ++entry) {
    if (!IsLive(entry->second) || entry->first == requester)
      continue;
    *list.add_members() = MakeMemberUpdate(entry->first, entry->second, true);
    ++count;
  }
  list.set_is_last(entry == membership.members.end());
  actions.messages.push_back(
      {requester, proto::MEMBER_LIST, list.SerializeAsString()});
}

void HandleMemberList(Membership& membership,
                      const base::DaemonId& sender,
                      const proto::MemberList& list,
                      base::TimePoint now,
                      Actions& actions) {
  const std::uint64_t previous_version = membership.member_list_version;
  for (const proto::MemberUpdate& update : list.members())
    MergeListedMember(membership, update, sender, now, actions);
  AdjustSyncInterval(membership,
                     membership.member_list_version != previous_version, now);
  ListCursor& cursor = membership.list_cursor;
  if (list.limit() == 0 || list.after() != cursor.last_daemon.value)
    return;
  const bool is_first_reply =
      cursor.source.value.empty() && !membership.is_list_complete;
  if (!is_first_reply && sender != cursor.source)
    return;
  cursor.source = sender;
  cursor.requested_at = now;
  if (list.is_last() || list.members().empty()) {
    FinishListRead(membership, actions);
    return;
  }
  cursor.last_daemon.value = list.members().rbegin()->daemon();
  if (!membership.is_list_complete)
    SendJoin(membership, sender, cursor.last_daemon, kMembersPerListPart,
             actions);
}

void RequestSenderEntry(Membership& membership,
                        const base::DaemonId& sender,
                        base::TimePoint now,
                        Actions& actions) {
  if (!TryAcquire(membership.entry_request_rate, kMaxEntryRequestsPerSecond,
                  now))
    return;
  SendJoin(membership, sender, {}, 0, actions);
}

}  // namespace poplarfork::membership
