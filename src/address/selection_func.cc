#include "address/selection_func.h"

#include <algorithm>
#include <map>
#include <utility>

#include "address/address_limits_type.h"
#include "base/rng_func.h"

namespace poplarfork::address {

namespace {

using membership::LiveMember;
using membership::MemberState;

// If fewer members than this are alive and not suspected, suspects are used
// too.
constexpr std::size_t kMinAliveMembers = 2;

using Members = std::vector<const LiveMember*>;

const LiveMember* FindMember(const std::vector<LiveMember>& members,
                             const base::DaemonId& daemon) {
  const auto found =
      std::lower_bound(members.begin(), members.end(), daemon,
                       [](const LiveMember& member, const base::DaemonId& id) {
                         return member.daemon < id;
                       });
  const bool is_found = found != members.end() && found->daemon == daemon;
  return is_found ? &*found : nullptr;
}

Members FindUsableMembers(const std::vector<LiveMember>& members,
                          const std::vector<base::DaemonId>& group) {
  Members alive;
  Members suspects;
  for (const base::DaemonId& daemon : group) {
    const LiveMember* member = FindMember(members, daemon);
    if (member == nullptr)
      continue;
    if (member->state == MemberState::kAlive)
      alive.push_back(member);
    if (member->state == MemberState::kSuspect)
      suspects.push_back(member);
  }
  if (alive.size() < kMinAliveMembers)
    alive.insert(alive.end(), suspects.begin(), suspects.end());
  return alive;
}

bool HasHighLoad(const LiveMember& member) {
  return member.load >= kHighLoadPercent;
}

int PreferenceRank(const LiveMember& member) {
  const int suspect = member.state == MemberState::kSuspect ? 2 : 0;
  return suspect + (HasHighLoad(member) ? 1 : 0);
}

void Shuffle(Members& members, base::Rng& rng) {
  for (std::size_t i = members.size(); i > 1; --i)
    std::swap(members[i - 1], members[base::UniformBelow(rng, i)]);
}

// Sorts members with a low load first, then highly loaded ones, then suspects.
// The order within each rank is random.
void SortByPreference(Members& members, base::Rng& rng) {
  Shuffle(members, rng);
  std::stable_sort(members.begin(), members.end(),
                   [](const LiveMember* left, const LiveMember* right) {
                     return PreferenceRank(*left) < PreferenceRank(*right);
                   });
}

// Reorders the members so that data centres alternate within each rank.
Members InterleaveDataCentres(const Members& ordered) {
  std::map<std::pair<int, base::DataCentreId>, int> next_turn;
  std::vector<std::pair<int, const LiveMember*>> turns;
  turns.reserve(ordered.size());
  for (const LiveMember* member : ordered)
    turns.emplace_back(
        next_turn[{PreferenceRank(*member), member->data_centre}]++, member);
  std::stable_sort(turns.begin(), turns.end(),
                   [](const auto& left, const auto& right) {
                     const int left_rank = PreferenceRank(*left.second);
                     const int right_rank = PreferenceRank(*right.second);
                     return left_rank != right_rank ? left_rank < right_rank
                                                    : left.first < right.first;
                   });
  Members result;
  for (const auto& [turn, member] : turns)
    result.push_back(member);
  return result;
}

// Gives the last place to a member of a second data centre if all chosen
// members are in one. This is the case if all members of a better rank are in
// one data centre.
void EnsureTwoDataCentres(Members& chosen, const Members& others) {
  if (chosen.size() < kMaxAddresses)
    return;
  const auto differs = [&](const LiveMember* member) {
    return member->data_centre != chosen.front()->data_centre;
  };
  if (std::any_of(chosen.begin(), chosen.end(), differs))
    return;
  const auto other = std::find_if(others.begin(), others.end(), differs);
  if (other != others.end())
    chosen.back() = *other;
}

}  // namespace

AddressAnswer ChooseAddresses(const std::vector<LiveMember>& members,
                              const std::vector<base::DaemonId>& group,
                              const base::DataCentreId& caller_data_centre,
                              base::Rng& rng) {
  Members local;
  Members remote;
  for (const LiveMember* member : FindUsableMembers(members, group))
    (member->data_centre == caller_data_centre ? local : remote)
        .push_back(member);
  SortByPreference(local, rng);
  SortByPreference(remote, rng);
  remote = InterleaveDataCentres(remote);
  const std::size_t reserved =
      std::min(kReservedRemoteAddresses, remote.size());
  local.resize(std::min(local.size(), kMaxAddresses - reserved));
  Members chosen = local;
  const std::size_t free_places = kMaxAddresses - chosen.size();
  const std::size_t added = std::min(free_places, remote.size());
  chosen.insert(chosen.end(), remote.begin(),
                remote.begin() + static_cast<std::ptrdiff_t>(added));
  EnsureTwoDataCentres(chosen, remote);
  AddressAnswer answer;
  for (const LiveMember* member : chosen)
    answer.addresses.push_back({member->edge_address, member->data_centre});
  return answer;
}

}  // namespace poplarfork::address
