#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::standin {

struct UpstreamOptions {
  // Maximum number of requests that run concurrently.
  std::size_t slots = 3;
  // Maximum number of requests that wait for a slot; further ones are shed.
  std::size_t max_queued_requests = 6;
  std::size_t max_connections = 350;
  base::Duration service_time = std::chrono::milliseconds(5);
  // Share of the service time by which the service time of a single request is
  // at most longer or shorter, 0 to 1.
  double service_spread = 0.0;
  // After the start, the service time falls linearly from `cold_factor` times
  // `service_time` to `service_time` during this time; 0 means that there is no
  // cold start.
  base::Duration cold_start_time{};
  double cold_factor = 10.0;
  std::uint64_t seed = 1;
};

}  // namespace poplarfork::standin
