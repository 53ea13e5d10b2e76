#include "base/rng_func.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace poplarfork::base {

std::uint64_t UniformBelow(Rng& rng, std::uint64_t bound) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0,
                                                                bound - 1)(rng);
}

double Uniform01(Rng& rng) {
  return boost::random::uniform_01<double>()(rng);
}

}  // namespace poplarfork::base
