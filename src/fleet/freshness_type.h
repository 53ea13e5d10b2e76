#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::fleet {

// Up to when this daemon's view of the store is known to be current, and its
// own reads when no store reader confirms that.
struct Freshness {
  // Everything that the store had acknowledged at this time is known.
  base::TimePoint confirmed_at{};
  // Number of consecutive direct reads that failed, and the time before which
  // the next one is not made.
  std::uint32_t failed_direct_reads = 0;
  base::TimePoint next_direct_read_at{};
};

}  // namespace poplarfork::fleet
