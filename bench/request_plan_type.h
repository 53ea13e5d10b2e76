#pragma once

#include <cstdint>
#include <string>

namespace poplarfork::bench {

// One request and what its response must be.
struct RequestPlan {
  std::uint64_t number = 0;
  std::string target;
  std::string key;
  // The stand-in upstream generates a body of `expected_bytes` bytes from
  // `body_seed`.
  bool is_generated = false;
  std::uint64_t bytes = 0;
  std::uint64_t seed = 0;
};

}  // namespace poplarfork::bench
