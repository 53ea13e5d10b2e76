#pragma once

#include <array>
#include <cstdint>

namespace poplarfork::load {

// Budget of the retries that one daemon may send for a service. First attempts
// add tokens and retries take them, so that the retries never exceed the ratio
// in total.
struct RetryBudget {
  static constexpr std::size_t kWindowSeconds = 10;

  double tokens = 0;
  // Number of first attempts in each of the last 10 s.
  std::array<std::uint32_t, kWindowSeconds> requests_by_second = {};
  // The second that was counted last.
  std::int64_t current_second = 0;
};

}  // namespace poplarfork::load
