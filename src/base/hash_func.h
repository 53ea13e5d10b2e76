#pragma once

#include <cstdint>
#include <string_view>

namespace poplarfork::base {

// Returns the XXH3 64-bit hash of `data`. The result is the same on every
// daemon and in every version.
std::uint64_t StableHash(std::string_view data);

// Returns the weight of `member` for `key` in rendezvous (highest random
// weight) hashing. Callers choose the members with the highest weights.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view member);

// Returns the rank of `member` for `key` in weighted rendezvous hashing.
// Callers choose the member with the highest rank. The probability that a
// member is chosen is proportional to its `weight`, which must be 0 or more.
// Adding or removing a member does not change the order of the others.
double WeightedRendezvousRank(std::string_view key,
                              std::string_view member,
                              double weight);

}  // namespace poplarfork::base
