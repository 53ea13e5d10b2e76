#include "membership/join_func.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/rng_func.h"
#include "membership/gossip_func.h"
#include "membership/limits_type.h"
#include "membership/merge_func.h"
#include "membership/view_func.h"

namespace poplarfork::membership {

namespace {

constexpr base::Duration kRateWindow = seconds(1);

// Returns true and counts one event if fewer than `limit` were counted in the
// current window.
bool TakeRate(RateWindow& window, std::uint32_t limit, base::TimePoint now) {
  if (now - window.start >= kRateWindow)
    window = {now, 0};
  if (window.count >= limit)
    return false;
  ++window.count;
  return true;
}

// Asks `recipient` for up to `limit` members with ids greater than `after`. If
// this daemon holds the recipient for dead, the message also carries that
// accusation, so that the recipient can refute it.
void SendJoin(const Membership& membership,
              const base::DaemonId& to,
              const base::DaemonId& after,
              std::uint32_t limit,
              Actions& actions) {
  proto::Join join;
  *join.mutable_self() = SelfUpdate(membership.self);
  join.set_revision(membership.self.revision.value);
  join.set_after(after.value);
  join.set_limit(limit);
  const Member* member = FindMember(membership, to);
  if (member != nullptr && !IsLive(*member))
    *join.mutable_accusation() = ToUpdate(to, *member, false);
  actions.messages.push_back({to, proto::JOIN, join.SerializeAsString()});
}

base::DaemonId Pick(const std::vector<base::DaemonId>& daemons,
                    base::Rng& rng) {
  return daemons[base::UniformBelow(rng, daemons.size())];
}

void AskSeeds(Membership& membership, base::Rng& rng, Actions& actions) {
  std::vector<base::DaemonId> seeds = membership.seeds;
  std::erase(seeds, membership.self.daemon);
  for (std::size_t i = 0; i < kJoinSeeds && !seeds.empty(); ++i) {
    const base::DaemonId seed = Pick(seeds, rng);
    std::erase(seeds, seed);
    SendJoin(membership, seed, {}, kListPart, actions);
  }
}

void FinishReading(Membership& membership, Actions& actions) {
  membership.reading.source = {};
  membership.reading.after = {};
  if (membership.is_list_complete)
    return;
  membership.is_list_complete = true;
  Report(actions, ChangeKind::kListComplete, membership.self.daemon,
         membership.self.incarnation, {},
         std::to_string(CountLive(membership)) + " other members");
}

// Continues to join while no member list has been read completely: asks other
// seeds if the source has not replied for `kJoinRetryInterval`. Without other
// seeds, the list counts as complete.
void ContinueJoin(Membership& membership,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions) {
  const bool is_waiting = now - membership.reading.requested_at < kJoinRetry;
  if (is_waiting)
    return;
  membership.reading = {{}, {}, now};
  std::vector<base::DaemonId> others = membership.seeds;
  std::erase(others, membership.self.daemon);
  if (others.empty()) {
    FinishReading(membership, actions);
    return;
  }
  AskSeeds(membership, rng, actions);
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
  membership.reading.source = Pick(membership.neighbours, rng);
  SendJoin(membership, membership.reading.source, membership.reading.after,
           kListPart, actions);
}

// Returns the sync interval to its minimum if a part contained changes, and
// doubles it up to its maximum otherwise.
void AdaptSync(Membership& membership, bool is_changed, base::TimePoint now) {
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
void MergeListed(Membership& membership,
                 const proto::MemberUpdate& update,
                 const base::DaemonId& reporter,
                 base::TimePoint now,
                 Actions& actions) {
  const base::DaemonId daemon{update.daemon()};
  const bool is_new = FindMember(membership, daemon) == nullptr;
  MergeUpdate(membership, update, reporter, now, actions);
  if (is_new && daemon != membership.self.daemon)
    RemoveUpdate(membership, daemon);
}

// Sends a join to one random dead member or unlisted seed per
// `kReconnectInterval`, so that both sides of a partition find each other
// again.
void Reconnect(Membership& membership,
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
    if (seed != membership.self.daemon &&
        FindMember(membership, seed) == nullptr)
      candidates.push_back(seed);
  }
  if (!candidates.empty())
    SendJoin(membership, Pick(candidates, rng), {}, 0, actions);
}

}  // namespace

void MaintainContact(Membership& membership,
                     base::TimePoint now,
                     base::Rng& rng,
                     Actions& actions) {
  if (!membership.is_list_complete) {
    ContinueJoin(membership, now, rng, actions);
    return;
  }
  ContinueSync(membership, now, rng, actions);
  Reconnect(membership, now, rng, actions);
}

void HandleJoin(Membership& membership,
                const proto::Join& join,
                base::TimePoint now,
                Actions& actions) {
  if (!TakeRate(membership.list_answers, kMaxListAnswersPerSecond, now)) {
    ++membership.counters.list_answers_refused;
    return;
  }
  proto::MemberList list;
  *list.mutable_self() = SelfUpdate(membership.self);
  list.set_revision(membership.self.revision.value);
  list.set_after(join.after());
  const std::uint32_t limit = std::min(join.limit(), kListPart);
  list.set_limit(limit);
  auto entry = membership.members.upper_bound(base::DaemonId{join.after()});
  // The requester is told if it is listed as dead, so that it can refute that,
  // or if a later incarnation than its own is known.
  const base::DaemonId asking{join.self().daemon()};
  const Member* known = FindMember(membership, asking);
  if (known != nullptr &&
      (!IsLive(*known) || known->incarnation.value > join.self().incarnation()))
    *list.add_members() = ToUpdate(asking, *known, false);
  for (std::uint32_t count = 0;
       count < limit && entry != membership.members.end(); ++entry) {
    if (!IsLive(entry->second) || entry->first == asking)
      continue;
    *list.add_members() = ToUpdate(entry->first, entry->second, true);
    ++count;
  }
  list.set_is_last(entry == membership.members.end());
  actions.messages.push_back(
      {asking, proto::MEMBER_LIST, list.SerializeAsString()});
}

void HandleMemberList(Membership& membership,
                      const base::DaemonId& sender,
                      const proto::MemberList& list,
                      base::TimePoint now,
                      Actions& actions) {
  const std::uint64_t view = membership.view;
  for (const proto::MemberUpdate& update : list.members())
    MergeListed(membership, update, sender, now, actions);
  AdaptSync(membership, membership.view != view, now);
  ListReading& reading = membership.reading;
  if (list.limit() == 0 || list.after() != reading.after.value)
    return;
  const bool is_first_answer =
      reading.source.value.empty() && !membership.is_list_complete;
  if (!is_first_answer && sender != reading.source)
    return;
  reading.source = sender;
  reading.requested_at = now;
  if (list.is_last() || list.members().empty()) {
    FinishReading(membership, actions);
    return;
  }
  reading.after.value = list.members().rbegin()->daemon();
  if (!membership.is_list_complete)
    SendJoin(membership, sender, reading.after, kListPart, actions);
}

void AskForEntry(Membership& membership,
                 const base::DaemonId& sender,
                 base::TimePoint now,
                 Actions& actions) {
  if (!TakeRate(membership.entry_requests, kMaxEntryRequestsPerSecond, now))
    return;
  SendJoin(membership, sender, {}, 0, actions);
}

}  // namespace poplarfork::membership
