#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::soak {

// Time from the first statement of a limit until it holds, and the windows in
// which requests are counted.
inline constexpr base::Duration kLimitLearningTime =
    std::chrono::milliseconds(3000);
inline constexpr base::Duration kLimitWindow = std::chrono::milliseconds(4000);

// Returns the requests that an upstream may get in one window: one and a half
// times what its limit allows, and five.
std::size_t AllowedArrivals(double per_second);

// Returns the most arrivals in one window that begins and ends between `since`
// and `until`.
std::size_t MostArrivals(
    const std::vector<std::chrono::steady_clock::time_point>& arrivals,
    std::chrono::steady_clock::time_point since,
    std::chrono::steady_clock::time_point until);

}  // namespace poplarfork::soak
