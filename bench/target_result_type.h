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
  std::map<unsigned, std::uint64_t> statuses;
  std::uint64_t completed = 0;
  std::uint64_t connection_errors = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t wrong_length = 0;
  std::uint64_t wrong_content = 0;
  std::uint64_t bytes = 0;
  base::Duration active{};
};

}  // namespace poplarfork::bench
