#pragma once

#include <cstdint>

#include "base/rng_type.h"

namespace poplarfork::base {

// Returns a uniformly distributed integer in [0, bound). `bound` must not be 0.
// The distribution is Boost's, because the results of the standard library's
// distributions differ between implementations, which would break replay.
std::uint64_t UniformBelow(Rng& rng, std::uint64_t bound);

// Returns a uniformly distributed number in [0, 1) with 53 random bits.
double Uniform01(Rng& rng);

}  // namespace poplarfork::base
