#pragma once

#include <cstdint>
#include <string_view>

namespace poplarfork::base {

// Returns the XXH3 64-bit hash of `data`. It is the same on every daemon and
// in every version.
std::uint64_t StableHash(std::string_view data);

// Returns the rendezvous weight of `member` for `key`; the members with the
// highest weights are chosen.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view member);

// Returns the rank of `member` for `key` in weighted rendezvous hashing: the
// member with the highest rank is chosen, its chance is in proportion to its
// weight, and the order of the others stays when one comes or goes. `weight` is
// 0 or more.
double RendezvousRank(std::string_view key,
                      std::string_view member,
                      double weight);

}  // namespace poplarfork::base
