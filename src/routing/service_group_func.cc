#include "routing/service_group_func.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/hash_func.h"

namespace poplarfork::routing {

namespace {

struct Ranked {
  std::uint64_t weight = 0;
  const GroupMember* member = nullptr;
};

using Seats = std::unordered_map<std::string_view, std::size_t>;

bool Before(const Ranked& left, const Ranked& right) {
  if (left.weight != right.weight)
    return left.weight > right.weight;
  return left.member->id < right.member->id;
}

std::vector<Ranked> RankMembers(const base::ServiceId& service,
                                std::span<const GroupMember> members) {
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (const GroupMember& member : members) {
    ranked.push_back(
        {base::RendezvousWeight(service.value, member.id.value), &member});
  }
  return ranked;
}

std::vector<Ranked> BestOfDataCentres(const std::vector<Ranked>& ranked) {
  std::unordered_map<std::string_view, Ranked> best;
  for (const Ranked& entry : ranked) {
    Ranked& seat = best[entry.member->data_centre.value];
    if (seat.member == nullptr || Before(entry, seat))
      seat = entry;
  }
  std::vector<Ranked> result;
  result.reserve(best.size());
  for (const auto& [data_centre, entry] : best)
    result.push_back(entry);
  std::ranges::sort(result, Before);
  return result;
}

// Adds members to `chosen` in the order of `ranked`, until it has `size`
// members, with at most `max_per_data_centre` of each data centre.
void FillSeats(const std::vector<Ranked>& ranked,
               std::size_t size,
               std::size_t cap,
               Seats& seats,
               std::vector<Ranked>& chosen) {
  for (const Ranked& entry : ranked) {
    if (chosen.size() >= size)
      return;
    const bool present = std::ranges::any_of(chosen, [&](const Ranked& other) {
      return other.member == entry.member;
    });
    std::size_t& taken = seats[entry.member->data_centre.value];
    if (present || taken >= cap)
      continue;
    ++taken;
    chosen.push_back(entry);
  }
}

std::vector<GroupMember> Members(std::vector<Ranked> ranked) {
  std::ranges::sort(ranked, Before);
  std::vector<GroupMember> result;
  result.reserve(ranked.size());
  for (const Ranked& entry : ranked)
    result.push_back(*entry.member);
  return result;
}

}  // namespace

std::vector<GroupMember> ServiceGroup(const base::ServiceId& service,
                                      std::span<const GroupMember> members,
                                      std::size_t size) {
  std::vector<Ranked> ranked = RankMembers(service, members);
  if (ranked.size() <= size)
    return Members(std::move(ranked));

  Seats seats;
  std::vector<Ranked> chosen;
  const std::vector<Ranked> best = BestOfDataCentres(ranked);
  FillSeats(best, size, 1, seats, chosen);

  // Three times as many members as the group needs are enough, unless most of
  // them are in one data centre and its maximum leaves places free. Only then
  // are all members sorted.
  const std::size_t near = std::min(ranked.size(), 3 * size);
  std::ranges::partial_sort(ranked, ranked.begin() + near, Before);
  const std::size_t cap = best.size() > 1 ? (size + 1) / 2 : size;
  FillSeats({ranked.begin(), ranked.begin() + near}, size, cap, seats, chosen);
  if (chosen.size() < size) {
    std::ranges::sort(ranked, Before);
    FillSeats(ranked, size, cap, seats, chosen);
    FillSeats(ranked, size, size, seats, chosen);
  }
  return Members(std::move(chosen));
}

bool InGroup(std::span<const GroupMember> group, const base::DaemonId& daemon) {
  return std::ranges::any_of(
      group, [&](const GroupMember& member) { return member.id == daemon; });
}

}  // namespace poplarfork::routing
