#pragma once

#include <cstdint>
#include <string>

namespace poplarfork::bench {

// One request and what its response must be.
struct RequestPlan {
  std::uint64_t request_number = 0;
  std::string request_target;
  std::string idempotency_key;
  // The stand-in upstream generates a body of `expected_bytes` bytes from
  // `body_seed`.
  bool expects_generated_body = false;
  std::uint64_t expected_bytes = 0;
  std::uint64_t body_seed = 0;
};

}  // namespace poplarfork::bench
