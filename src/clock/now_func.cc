#include "clock/now_func.h"

#include <ctime>

#include <chrono>

namespace poplarfork::clock {

base::TimePoint Now() {
  // Unlike CLOCK_MONOTONIC, this clock also counts the time for which the VM
  // was suspended. Deadlines, leases and grants run out meanwhile.
  std::timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace poplarfork::clock
