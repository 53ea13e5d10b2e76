#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "metrics/latency_type.h"

namespace poplarfork::metrics {

// Counters, gauges and latency histograms of one daemon. The key of each metric
// is its exported name including its labels.
struct Registry {
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, LatencyHistogram, std::less<>> latencies;
};

}  // namespace poplarfork::metrics
