#pragma once

#include "base/time_type.h"

namespace poplarfork::load {

// Adaptive limit on the requests that one daemon has in flight at one upstream.
struct ConcurrencyLimit {
  double limit = 1;
  // Upper bound of `limit`: the number of connections that the daemon may hold.
  // The lower bound is 1.
  double max = 1;
  // Shortest latency in the current window and in the previous one.
  base::Duration window_min = base::Duration::max();
  base::Duration previous_min = base::Duration::max();
  base::TimePoint window_start = {};
  base::TimePoint decreased_at = {};
};

}  // namespace poplarfork::load
