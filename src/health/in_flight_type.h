#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::health {

// A request that was sent to an upstream and has not ended.
struct InFlightRequest {
  std::uint32_t upstream_index = 0;
  base::TimePoint started{};
  bool reused_connection = false;
  // Latency evidence in nats that was counted while the request was running.
  double counted_latency_score = 0;
  // True if the missing response was counted as a transport failure.
  bool counted_as_failure = false;
  // True if the missing response was attributed to the connection.
  bool attributed_to_connection = false;
  // True if the event loop stalled while the request was running. Its measured
  // times are then not used.
  bool overlapped_stall = false;
};

}  // namespace poplarfork::health
