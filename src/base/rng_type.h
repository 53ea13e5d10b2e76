#pragma once

#include <random>

namespace poplarfork::base {

// Random number generator of the decision core (the code that makes decisions
// and does no I/O). The driver, which does the I/O for it, seeds the generator
// and logs the seed, so that a replay draws the same numbers.
using Rng = std::mt19937_64;

}  // namespace poplarfork::base
