#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::health {

// A request that was sent to an upstream and has not ended.
struct InFlight {
  std::uint32_t upstream = 0;
  base::TimePoint started{};
  bool reused_connection = false;
  // Latency evidence in nats that was counted while the request was running.
  double counted_latency = 0;
  // True if the missing response was counted as a transport failure.
  bool counted_silence = false;
  // True if the missing response was attributed to the connection.
  bool connection_silent = false;
  // True if the event loop stalled while the request was running. Its measured
  // times are then not used.
  bool stalled = false;
};

}  // namespace poplarfork::health
