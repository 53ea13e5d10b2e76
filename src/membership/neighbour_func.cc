#include "membership/neighbour_func.h"

#include <algorithm>
#include <utility>

#include "base/hash_func.h"
#include "base/rng_func.h"
#include "membership/limits_type.h"
#include "membership/member_list_func.h"

namespace poplarfork::membership {

namespace {

struct WeightedMember {
  std::uint64_t weight;
  const base::DaemonId* daemon;
};

void Shuffle(std::vector<base::DaemonId>& daemons, base::Rng& rng) {
  for (std::size_t i = daemons.size(); i > 1; --i)
    std::swap(daemons[i - 1], daemons[base::UniformBelow(rng, i)]);
}

void TakeHighestWeights(std::vector<WeightedMember>& members,
                        std::size_t count,
                        std::vector<base::DaemonId>& chosen) {
  const std::size_t taken = std::min(count, members.size());
  const auto end = members.begin() + static_cast<std::ptrdiff_t>(taken);
  std::partial_sort(
      members.begin(), end, members.end(),
      [](const WeightedMember& left, const WeightedMember& right) {
        return left.weight > right.weight;
      });
  for (auto member = members.begin(); member != end; ++member)
    chosen.push_back(*member->daemon);
}

// Returns true if `daemon` is a neighbour that is not suspected. Suspected
// members are only probed if `QueuePriorityProbe` was called for them.
bool IsUnsuspectedNeighbour(const Membership& membership,
                            const base::DaemonId& daemon) {
  const std::vector<base::DaemonId>& neighbours = membership.neighbours;
  const Member* member = FindMember(membership, daemon);
  return member != nullptr && !member->is_suspected &&
         std::find(neighbours.begin(), neighbours.end(), daemon) !=
             neighbours.end();
}

// Removes and returns the first member that is queued for a priority probe and
// is not dead, or returns an empty id.
base::DaemonId TakePriorityProbe(Membership& membership) {
  while (!membership.priority_probes.empty()) {
    base::DaemonId daemon = membership.priority_probes.front();
    membership.priority_probes.erase(membership.priority_probes.begin());
    const Member* member = FindMember(membership, daemon);
    if (member != nullptr && IsLive(*member))
      return daemon;
  }
  return {};
}

void StartProbeRound(Membership& membership, base::Rng& rng) {
  membership.probe_order = membership.neighbours;
  Shuffle(membership.probe_order, rng);
}

}  // namespace

std::uint64_t PairWeight(const base::DaemonId& left,
                         const base::DaemonId& right) {
  const bool is_ordered = left < right;
  const base::DaemonId& first = is_ordered ? left : right;
  const base::DaemonId& second = is_ordered ? right : left;
  return base::RendezvousWeight(first.value, second.value);
}

void RefreshNeighbours(Membership& membership) {
  if (!membership.are_neighbours_stale)
    return;
  std::vector<WeightedMember> local;
  std::vector<WeightedMember> remote;
  for (const auto& [daemon, member] : membership.members) {
    if (!IsLive(member))
      continue;
    const bool is_local =
        member.data_centre == membership.local_member.data_centre;
    (is_local ? local : remote).push_back({member.pair_weight, &daemon});
  }
  membership.neighbours.clear();
  TakeHighestWeights(local, kMaxLocalNeighbours, membership.neighbours);
  TakeHighestWeights(remote, kMaxRemoteNeighbours, membership.neighbours);
  membership.are_neighbours_stale = false;
}

base::DaemonId TakeNextProbeTarget(Membership& membership, base::Rng& rng) {
  // Priority probes alternate with those of the round, so that this daemon also
  // continues to probe healthy members. It judges its own health by their acks.
  membership.is_priority_probe_next = !membership.is_priority_probe_next;
  if (membership.is_priority_probe_next) {
    base::DaemonId priority_target = TakePriorityProbe(membership);
    if (!priority_target.value.empty())
      return priority_target;
  }
  // A second pass is needed if all members that remain in the round are no
  // longer neighbours or are suspected.
  for (int pass = 0; pass < 2; ++pass) {
    while (!membership.probe_order.empty()) {
      base::DaemonId daemon = std::move(membership.probe_order.back());
      membership.probe_order.pop_back();
      if (IsUnsuspectedNeighbour(membership, daemon))
        return daemon;
    }
    StartProbeRound(membership, rng);
  }
  return {};
}

void QueuePriorityProbe(Membership& membership, const base::DaemonId& daemon) {
  std::vector<base::DaemonId>& queue = membership.priority_probes;
  if (std::find(queue.begin(), queue.end(), daemon) == queue.end())
    queue.push_back(daemon);
}

std::vector<base::DaemonId> ChooseIndirectProbers(const Membership& membership,
                                                  const base::DaemonId& target,
                                                  base::Rng& rng) {
  std::vector<base::DaemonId> candidates = membership.neighbours;
  Shuffle(candidates, rng);
  std::vector<base::DaemonId> probers;
  std::vector<base::DaemonId> same_data_centre;
  std::vector<base::DataCentreId> seen_data_centres;
  for (const base::DaemonId& candidate : candidates) {
    const Member* member = FindMember(membership, candidate);
    if (candidate == target || member == nullptr ||
        member->state != MemberState::kAlive)
      continue;
    const bool is_new =
        std::find(seen_data_centres.begin(), seen_data_centres.end(),
                  member->data_centre) == seen_data_centres.end();
    (is_new ? probers : same_data_centre).push_back(candidate);
    seen_data_centres.push_back(member->data_centre);
  }
  probers.insert(probers.end(), same_data_centre.begin(),
                 same_data_centre.end());
  probers.resize(std::min(probers.size(), kMaxIndirectProbers));
  return probers;
}

}  // namespace poplarfork::membership
