#include "bench/latency_func.h"

#include <algorithm>
#include <cmath>

namespace poplarfork::bench {

namespace {

// The histogram has 4,200 bins over 9 decades, so each bin is 0.5% wide.
constexpr unsigned kBinCount = 4200;
constexpr double kMinLatencyUs = 1.0;
constexpr double kMaxLatencyUs = 1e9;

}  // namespace

LatencyHistogram MakeLatencyHistogram() {
  return boost::histogram::make_histogram(
      LatencyAxis(kBinCount, kMinLatencyUs, kMaxLatencyUs));
}

void AddLatency(LatencyHistogram& histogram, base::Duration latency) {
  const auto latency_us = static_cast<double>(latency.count());
  histogram(std::clamp(latency_us, kMinLatencyUs, kMaxLatencyUs - 1));
}

base::Duration Quantile(const LatencyHistogram& histogram, double quantile) {
  const double total = boost::histogram::algorithm::sum(histogram);
  const double target_count = std::ceil(total * quantile);
  double cumulative = 0.0;
  for (int bin = 0; bin < histogram.axis().size(); ++bin) {
    cumulative += static_cast<double>(histogram.at(bin));
    if (cumulative >= target_count && cumulative > 0.0) {
      const double upper_edge_us = histogram.axis().bin(bin).upper();
      return base::Duration(static_cast<base::Duration::rep>(upper_edge_us));
    }
  }
  return base::Duration{0};
}

}  // namespace poplarfork::bench
