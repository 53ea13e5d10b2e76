#pragma once

#include <cstdint>
#include <vector>

#include "base/rng_type.h"
#include "release/member_type.h"

namespace poplarfork::release {

// Returns true if `self` is one of the `count` members of its data centre with
// the highest rendezvous weights for watching the log. `others` excludes
// `self`.
bool IsWatcher(const Member& self,
               const std::vector<Member>& others,
               std::uint32_t count);

// Returns true if `self` has the highest rendezvous weight of all daemons for
// writing snapshots. `others` excludes `self`.
bool IsSnapshotWriter(const Member& self, const std::vector<Member>& others);

// Returns up to `count` distinct members other than `excluded`, chosen
// uniformly at random.
std::vector<Member> ChooseRandomPeers(const std::vector<Member>& others,
                                      std::uint32_t count,
                                      const base::DaemonId& excluded,
                                      base::Rng& rng);

}  // namespace poplarfork::release
