#include "release/member_func.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/hash_func.h"
#include "base/rng_func.h"

namespace poplarfork::release {

namespace {

// Returns true if `other` has a higher rendezvous weight for `key` than `self`.
// Equal weights are ordered by the daemon's id.
bool HasHigherWeight(const std::string& key,
                     const Member& other,
                     const Member& self) {
  const auto weight = [&](const Member& member) {
    return base::RendezvousWeight(key, member.id.value);
  };
  return std::pair(weight(other), other.id) > std::pair(weight(self), self.id);
}

}  // namespace

bool IsWatcher(const Member& self,
               const std::vector<Member>& others,
               std::uint32_t count) {
  const std::string key = "watch/" + self.data_centre.value;
  const auto higher_weight_count =
      std::ranges::count_if(others, [&](const Member& other) {
        return other.data_centre == self.data_centre &&
               HasHigherWeight(key, other, self);
      });
  return static_cast<std::uint64_t>(higher_weight_count) < count;
}

bool IsSnapshotWriter(const Member& self, const std::vector<Member>& others) {
  return std::ranges::none_of(others, [&](const Member& other) {
    return HasHigherWeight("snapshot", other, self);
  });
}

std::vector<Member> ChooseRandomPeers(const std::vector<Member>& others,
                                      std::uint32_t count,
                                      const base::DaemonId& excluded,
                                      base::Rng& rng) {
  std::vector<Member> candidates;
  for (const Member& member : others) {
    if (member.id != excluded)
      candidates.push_back(member);
  }
  const std::size_t chosen_count =
      std::min<std::size_t>(count, candidates.size());
  for (std::size_t i = 0; i < chosen_count; ++i) {
    const std::uint64_t j = i + base::UniformBelow(rng, candidates.size() - i);
    std::swap(candidates[i], candidates[j]);
  }
  candidates.resize(chosen_count);
  return candidates;
}

}  // namespace poplarfork::release
