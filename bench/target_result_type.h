#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time_type.h"
#include "bench/latency_func.h"

namespace poplarfork::bench {

// The measurements of one target, without those of the warm-up.
struct TargetResult {
  std::string address;
  LatencyHistogram latencies = MakeLatencyHistogram();
  // The number of complete responses by status. A truncated response counts as
  // a connection error.
  std::map<unsigned, std::uint64_t> counts_by_status;
  std::uint64_t completed_requests = 0;
  std::uint64_t connection_errors = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t wrong_length_responses = 0;
  std::uint64_t wrong_content_responses = 0;
  std::uint64_t response_bytes = 0;
  base::Duration active_time{};
};

}  // namespace poplarfork::bench
