#pragma once

#include "base/time_type.h"

namespace poplarfork::replay {

// The times of the fault and of the drain in one simulation run, counted from
// its start, and its duration.
struct Timeline {
  base::Duration fault_start = std::chrono::seconds(60);
  base::Duration fault_end = std::chrono::seconds(120);
  base::Duration end = std::chrono::seconds(180);
  // One healthy upstream drains from `drain_start` to `drain_end`.
  base::Duration drain_start = std::chrono::seconds(30);
  base::Duration drain_end = std::chrono::seconds(150);
};

}  // namespace poplarfork::replay
