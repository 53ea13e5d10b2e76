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
bool GoesBefore(const std::string& key,
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
  const auto before = std::ranges::count_if(others, [&](const Member& other) {
    return other.data_centre == self.data_centre &&
           GoesBefore(key, other, self);
  });
  return static_cast<std::uint64_t>(before) < count;
}

bool IsSnapshotWriter(const Member& self, const std::vector<Member>& others) {
  return std::ranges::none_of(others, [&](const Member& other) {
    return GoesBefore("snapshot", other, self);
  });
}

std::vector<Member> ChoosePeers(const std::vector<Member>& others,
                                std::uint32_t count,
                                const base::DaemonId& except,
                                base::Rng& rng) {
  std::vector<Member> pool;
  for (const Member& member : others) {
    if (member.id != except)
      pool.push_back(member);
  }
  const std::size_t wanted = std::min<std::size_t>(count, pool.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    const std::uint64_t j = i + base::UniformBelow(rng, pool.size() - i);
    std::swap(pool[i], pool[j]);
  }
  pool.resize(wanted);
  return pool;
}

}  // namespace poplarfork::release
