#include "standin/monotonic_clock_func.h"

#include <chrono>

namespace poplarfork::standin {

base::TimePoint Now() {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(
      std::chrono::duration_cast<base::Duration>(since_epoch));
}

}  // namespace poplarfork::standin
