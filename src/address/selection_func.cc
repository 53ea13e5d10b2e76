#include "address/selection_func.h"

#include <algorithm>
#include <map>
#include <utility>

#include "address/limits_type.h"
#include "base/rng_func.h"

namespace poplarfork::address {

namespace {

using membership::LiveMember;
using membership::MemberState;

// If fewer members than this are alive and not suspected, suspects are used
// too.
constexpr std::size_t kMinUnsuspected = 2;

using Candidates = std::vector<const LiveMember*>;

const LiveMember* Find(const std::vector<LiveMember>& members,
                       const base::DaemonId& daemon) {
  const auto found =
      std::lower_bound(members.begin(), members.end(), daemon,
                       [](const LiveMember& member, const base::DaemonId& id) {
                         return member.daemon < id;
                       });
  const bool is_found = found != members.end() && found->daemon == daemon;
  return is_found ? &*found : nullptr;
}

Candidates FindUsable(const std::vector<LiveMember>& members,
                      const std::vector<base::DaemonId>& group) {
  Candidates alive;
  Candidates suspects;
  for (const base::DaemonId& daemon : group) {
    const LiveMember* member = Find(members, daemon);
    if (member == nullptr)
      continue;
    if (member->state == MemberState::kAlive)
      alive.push_back(member);
    if (member->state == MemberState::kSuspect)
      suspects.push_back(member);
  }
  if (alive.size() < kMinUnsuspected)
    alive.insert(alive.end(), suspects.begin(), suspects.end());
  return alive;
}

bool IsLoaded(const LiveMember& member) {
  return member.load >= kLoadedPercent;
}

int Rank(const LiveMember& member) {
  const int suspect = member.state == MemberState::kSuspect ? 2 : 0;
  return suspect + (IsLoaded(member) ? 1 : 0);
}

void Shuffle(Candidates& candidates, base::Rng& rng) {
  for (std::size_t i = candidates.size(); i > 1; --i)
    std::swap(candidates[i - 1], candidates[base::UniformBelow(rng, i)]);
}

// Sorts members with a low load first, then highly loaded ones, then suspects.
// The order within each rank is random.
void Order(Candidates& candidates, base::Rng& rng) {
  Shuffle(candidates, rng);
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const LiveMember* left, const LiveMember* right) {
                     return Rank(*left) < Rank(*right);
                   });
}

// Reorders the members so that data centres alternate within each rank.
Candidates TakeTurns(const Candidates& ordered) {
  std::map<std::pair<int, base::DataCentreId>, int> taken;
  std::vector<std::pair<int, const LiveMember*>> turns;
  turns.reserve(ordered.size());
  for (const LiveMember* member : ordered)
    turns.emplace_back(taken[{Rank(*member), member->data_centre}]++, member);
  std::stable_sort(turns.begin(), turns.end(),
                   [](const auto& left, const auto& right) {
                     const int left_rank = Rank(*left.second);
                     const int right_rank = Rank(*right.second);
                     return left_rank != right_rank ? left_rank < right_rank
                                                    : left.first < right.first;
                   });
  Candidates result;
  for (const auto& [turn, member] : turns)
    result.push_back(member);
  return result;
}

// Gives the last place to a member of a second data centre if all chosen
// members are in one. This is the case if all members of a better rank are in
// one data centre.
void KeepTwoDataCentres(Candidates& chosen, const Candidates& others) {
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
                              const base::DataCentreId& caller,
                              base::Rng& rng) {
  Candidates near;
  Candidates elsewhere;
  for (const LiveMember* member : FindUsable(members, group))
    (member->data_centre == caller ? near : elsewhere).push_back(member);
  Order(near, rng);
  Order(elsewhere, rng);
  elsewhere = TakeTurns(elsewhere);
  const std::size_t kept = std::min(kPlacesElsewhere, elsewhere.size());
  near.resize(std::min(near.size(), kMaxAddresses - kept));
  Candidates chosen = near;
  const std::size_t room = kMaxAddresses - chosen.size();
  const std::size_t added = std::min(room, elsewhere.size());
  chosen.insert(chosen.end(), elsewhere.begin(),
                elsewhere.begin() + static_cast<std::ptrdiff_t>(added));
  KeepTwoDataCentres(chosen, elsewhere);
  AddressAnswer answer;
  for (const LiveMember* member : chosen)
    answer.addresses.push_back({member->edge_address, member->data_centre});
  return answer;
}

}  // namespace poplarfork::address
