#include "metrics/registry_func.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace poplarfork::metrics {

namespace {

// With this number of bins over the range below, the upper edge of each bin is
// 6% above its lower edge.
constexpr unsigned kBinCount = 280;
constexpr double kMinLatencyUs = 10;
constexpr double kMaxLatencyUs = 1e8;
// Quantiles that are exported for each histogram.
constexpr std::array kQuantiles = {0.5, 0.9, 0.99, 0.999};

LatencyHistogram MakeHistogram() {
  using LogAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  return boost::histogram::make_histogram(
      LogAxis(kBinCount, kMinLatencyUs, kMaxLatencyUs));
}

double CountObservations(const LatencyHistogram& histogram) {
  return boost::histogram::algorithm::sum(histogram);
}

}  // namespace

void IncrementCounter(Registry& registry,
                      std::string_view name,
                      std::uint64_t amount) {
  const auto found = registry.counters.find(name);
  if (found != registry.counters.end()) {
    found->second += amount;
    return;
  }
  registry.counters.emplace(name, amount);
}

void SetGauge(Registry& registry, std::string_view name, double value) {
  const auto found = registry.gauges.find(name);
  if (found != registry.gauges.end()) {
    found->second = value;
    return;
  }
  registry.gauges.emplace(name, value);
}

void Observe(Registry& registry,
             std::string_view name,
             base::Duration latency) {
  auto found = registry.latencies.find(name);
  if (found == registry.latencies.end())
    found = registry.latencies.emplace(name, MakeHistogram()).first;
  found->second(static_cast<double>(latency.count()));
}

base::Duration Quantile(const LatencyHistogram& histogram, double quantile) {
  const double total = CountObservations(histogram);
  if (total == 0)
    return base::Duration(0);
  double cumulative = 0;
  for (const auto& bin :
       boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
    cumulative += *bin;
    if (cumulative < quantile * total)
      continue;
    const double upper_edge_us = std::min(bin.bin().upper(), kMaxLatencyUs);
    return base::Duration(static_cast<std::int64_t>(upper_edge_us));
  }
  return base::Duration(static_cast<std::int64_t>(kMaxLatencyUs));
}

std::string FormatPrometheus(const Registry& registry) {
  std::ostringstream text;
  for (const auto& [name, value] : registry.counters)
    text << name << ' ' << value << '\n';
  for (const auto& [name, value] : registry.gauges)
    text << name << ' ' << value << '\n';
  for (const auto& [name, histogram] : registry.latencies) {
    for (const double quantile : kQuantiles) {
      text << name << "_us{quantile=\"" << quantile << "\"} "
           << Quantile(histogram, quantile).count() << '\n';
    }
    text << name << "_count " << CountObservations(histogram) << '\n';
  }
  return text.str();
}

}  // namespace poplarfork::metrics
