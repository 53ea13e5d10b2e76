#include "routing/service_group_func.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/hash_func.h"

namespace poplarfork::routing {

namespace {

struct RankedMember {
  std::uint64_t weight = 0;
  const GroupMember* member = nullptr;
};

using MemberCounts = std::unordered_map<std::string_view, std::size_t>;

bool RanksBefore(const RankedMember& left, const RankedMember& right) {
  if (left.weight != right.weight)
    return left.weight > right.weight;
  return left.member->id < right.member->id;
}

std::vector<RankedMember> WeighMembers(const base::ServiceId& service,
                                       std::span<const GroupMember> members) {
  std::vector<RankedMember> ranked;
  ranked.reserve(members.size());
  for (const GroupMember& member : members) {
    ranked.push_back(
        {base::RendezvousWeight(service.value, member.id.value), &member});
  }
  return ranked;
}

std::vector<RankedMember> BestMemberPerDataCentre(
    const std::vector<RankedMember>& ranked) {
  std::unordered_map<std::string_view, RankedMember> best;
  for (const RankedMember& entry : ranked) {
    RankedMember& best_member = best[entry.member->data_centre.value];
    if (best_member.member == nullptr || RanksBefore(entry, best_member))
      best_member = entry;
  }
  std::vector<RankedMember> result;
  result.reserve(best.size());
  for (const auto& [data_centre, entry] : best)
    result.push_back(entry);
  std::ranges::sort(result, RanksBefore);
  return result;
}

// Adds members to `chosen` in the order of `ranked`, until it has `size`
// members, with at most `max_per_data_centre` of each data centre.
void AddMembers(const std::vector<RankedMember>& ranked,
                std::size_t size,
                std::size_t max_per_data_centre,
                MemberCounts& member_counts,
                std::vector<RankedMember>& chosen) {
  for (const RankedMember& entry : ranked) {
    if (chosen.size() >= size)
      return;
    const bool is_chosen =
        std::ranges::any_of(chosen, [&](const RankedMember& other) {
          return other.member == entry.member;
        });
    std::size_t& count = member_counts[entry.member->data_centre.value];
    if (is_chosen || count >= max_per_data_centre)
      continue;
    ++count;
    chosen.push_back(entry);
  }
}

std::vector<GroupMember> SortedMembers(std::vector<RankedMember> ranked) {
  std::ranges::sort(ranked, RanksBefore);
  std::vector<GroupMember> result;
  result.reserve(ranked.size());
  for (const RankedMember& entry : ranked)
    result.push_back(*entry.member);
  return result;
}

}  // namespace

std::vector<GroupMember> ServiceGroup(const base::ServiceId& service,
                                      std::span<const GroupMember> members,
                                      std::size_t size) {
  std::vector<RankedMember> ranked = WeighMembers(service, members);
  if (ranked.size() <= size)
    return SortedMembers(std::move(ranked));

  MemberCounts member_counts;
  std::vector<RankedMember> chosen;
  const std::vector<RankedMember> best = BestMemberPerDataCentre(ranked);
  AddMembers(best, size, 1, member_counts, chosen);

  // The best three times `size` members are enough, unless most of them are in
  // one data centre, so that its maximum leaves places free. Only then are all
  // members sorted.
  const std::size_t sorted_count = std::min(ranked.size(), 3 * size);
  std::ranges::partial_sort(ranked, ranked.begin() + sorted_count, RanksBefore);
  const std::size_t max_per_data_centre =
      best.size() > 1 ? (size + 1) / 2 : size;
  AddMembers({ranked.begin(), ranked.begin() + sorted_count}, size,
             max_per_data_centre, member_counts, chosen);
  if (chosen.size() < size) {
    std::ranges::sort(ranked, RanksBefore);
    AddMembers(ranked, size, max_per_data_centre, member_counts, chosen);
    AddMembers(ranked, size, size, member_counts, chosen);
  }
  return SortedMembers(std::move(chosen));
}

bool IsInGroup(std::span<const GroupMember> group,
               const base::DaemonId& daemon) {
  return std::ranges::any_of(
      group, [&](const GroupMember& member) { return member.id == daemon; });
}

}  // namespace poplarfork::routing
