#include "membership/gossip_func.h"

#include <bit>
#include <vector>

#include "membership/limits_type.h"
#include "membership/member_list_func.h"

namespace poplarfork::membership {

namespace {

// Number of times that one update is sent per doubling of the member count.
// Each daemon sends about 4 messages a second to changing peers. In a fleet of
// 6,900 members, an update is sent 26 times, which reaches all neighbours.
constexpr std::uint32_t kTransmissionsPerDoubling = 2;

std::uint32_t MaxTransmissions(const Membership& membership) {
  const std::size_t count = CountLiveMembers(membership) + 1;
  const auto doublings = static_cast<std::uint32_t>(std::bit_width(count));
  return kTransmissionsPerDoubling * doublings;
}

// Appends the current state of `daemon`, which may be this daemon.
void AppendUpdate(const Membership& membership,
                  const base::DaemonId& daemon,
                  proto::Probe& message) {
  if (daemon == membership.local_member.daemon) {
    *message.add_updates() = MakeSelfUpdate(membership.local_member);
    return;
  }
  const Member* member = FindMember(membership, daemon);
  if (member != nullptr)
    *message.add_updates() = MakeMemberUpdate(daemon, *member, false);
}

// Appends the state of the recipient if this daemon lists it as suspect or
// dead, so that the recipient can refute that.
void AppendSuspicion(const Membership& membership,
                     const base::DaemonId& recipient,
                     proto::Probe& message) {
  const Member* member = FindMember(membership, recipient);
  if (member == nullptr)
    return;
  if (member->state == MemberState::kSuspect ||
      member->state == MemberState::kDead)
    *message.add_updates() = MakeMemberUpdate(recipient, *member, false);
}

std::vector<base::DaemonId> ChooseUpdates(const UpdateQueue& queue,
                                          const base::DaemonId& recipient,
                                          std::size_t count) {
  std::vector<base::DaemonId> chosen;
  for (const auto& [transmissions, daemon] : queue.by_transmissions) {
    if (chosen.size() == count)
      break;
    if (daemon != recipient)
      chosen.push_back(daemon);
  }
  return chosen;
}

// Counts one transmission of an update, and removes the update from the queue
// after `limit` of them.
void CountTransmission(UpdateQueue& queue,
                       const base::DaemonId& daemon,
                       std::uint32_t limit) {
  const auto entry = queue.transmissions.find(daemon);
  queue.by_transmissions.erase({entry->second, daemon});
  ++entry->second;
  if (entry->second < limit)
    queue.by_transmissions.insert({entry->second, daemon});
  else
    queue.transmissions.erase(entry);
}

}  // namespace

void QueueUpdate(Membership& membership, const base::DaemonId& daemon) {
  RemoveUpdate(membership, daemon);
  membership.updates.transmissions[daemon] = 0;
  membership.updates.by_transmissions.insert({0, daemon});
}

void RemoveUpdate(Membership& membership, const base::DaemonId& daemon) {
  UpdateQueue& queue = membership.updates;
  const auto entry = queue.transmissions.find(daemon);
  if (entry == queue.transmissions.end())
    return;
  queue.by_transmissions.erase({entry->second, daemon});
  queue.transmissions.erase(entry);
}

void AppendUpdates(Membership& membership,
                   const base::DaemonId& recipient,
                   proto::Probe& message) {
  AppendSuspicion(membership, recipient, message);
  const std::size_t free_slots =
      kMaxUpdatesPerMessage - static_cast<std::size_t>(message.updates_size());
  const std::uint32_t limit = MaxTransmissions(membership);
  for (const base::DaemonId& daemon :
       ChooseUpdates(membership.updates, recipient, free_slots)) {
    AppendUpdate(membership, daemon, message);
    CountTransmission(membership.updates, daemon, limit);
  }
}

}  // namespace poplarfork::membership
