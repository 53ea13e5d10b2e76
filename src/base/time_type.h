#pragma once

#include <chrono>

namespace poplarfork::base {

using Duration = std::chrono::microseconds;

// Monotonic clock type of the decision core (the code that makes decisions and
// does no I/O). It has no now(): drivers read the clock and pass the time in,
// so that a replay can pass in the recorded time.
struct CoreClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  // The standard library's clock requirements prescribe this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using TimePoint = CoreClock::time_point;

}  // namespace poplarfork::base
