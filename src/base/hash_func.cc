#include "base/hash_func.h"

#include <cmath>

#include <xxhash.h>

namespace poplarfork::base {

std::uint64_t StableHash(std::string_view data) {
  return XXH3_64bits(data.data(), data.size());
}

std::uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  const std::uint64_t seed = StableHash(key);
  return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

double WeightedRendezvousRank(std::string_view key,
                              std::string_view member,
                              double weight) {
  // A double has a 53-bit significand. With more bits, the largest values would
  // round up to 1.
  constexpr int kSignificandBits = 53;
  const double uniform = (static_cast<double>(RendezvousWeight(key, member) >>
                                              (64 - kSignificandBits)) +
                          0.5) /
                         static_cast<double>(1ULL << kSignificandBits);
  return weight / -std::log(uniform);
}

}  // namespace poplarfork::base
