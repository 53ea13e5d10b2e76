#include "bench/latency_func.h"

#include <algorithm>
#include <cmath>

namespace poplarfork::bench {

namespace {

// The histogram has 4,200 bins over 9 decades, so each bin is 0.5% wide.
constexpr unsigned kBins = 4200;
constexpr double kMinMicroseconds = 1.0;
constexpr double kMaxMicroseconds = 1e9;

}  // namespace

LatencyHistogram MakeLatencyHistogram() {
  return boost::histogram::make_histogram(
      LatencyAxis(kBins, kMinMicroseconds, kMaxMicroseconds));
}

void AddLatency(LatencyHistogram& histogram, base::Duration latency) {
  const auto microseconds = static_cast<double>(latency.count());
  histogram(std::clamp(microseconds, kMinMicroseconds, kMaxMicroseconds - 1));
}

base::Duration Quantile(const LatencyHistogram& histogram, double quantile) {
  const double total = boost::histogram::algorithm::sum(histogram);
  const double wanted = std::ceil(total * quantile);
  double seen = 0.0;
  for (int bin = 0; bin < histogram.axis().size(); ++bin) {
    seen += static_cast<double>(histogram.at(bin));
    if (seen >= wanted && seen > 0.0) {
      const double upper = histogram.axis().bin(bin).upper();
      return base::Duration(static_cast<base::Duration::rep>(upper));
    }
  }
  return base::Duration{0};
}

}  // namespace poplarfork::bench
