#include "soak/limit_check_func.h"

#include <algorithm>

namespace poplarfork::soak {

std::size_t AllowedArrivals(double per_second) {
  const double seconds = std::chrono::duration<double>(kLimitWindow).count();
  return static_cast<std::size_t>(1.5 * seconds * per_second + 5);
}

std::size_t MostArrivals(
    const std::vector<std::chrono::steady_clock::time_point>& arrivals,
    std::chrono::steady_clock::time_point since,
    std::chrono::steady_clock::time_point until) {
  std::size_t most = 0;
  auto first = std::lower_bound(arrivals.begin(), arrivals.end(), since);
  const auto end = std::lower_bound(arrivals.begin(), arrivals.end(), until);
  for (; first < end; ++first) {
    const auto last = std::lower_bound(first, end, *first + kLimitWindow);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

}  // namespace poplarfork::soak
