#pragma once

#include <string>
#include <string_view>

#include "base/time_type.h"
#include "metrics/registry_type.h"

namespace poplarfork::metrics {

// Adds `amount` to the counter `name` and creates the counter if it does not
// exist. The name may carry labels in braces.
void IncrementCounter(Registry& registry,
                      std::string_view name,
                      std::uint64_t amount = 1);

// Sets the gauge `name` and creates it if it does not exist.
void SetGauge(Registry& registry, std::string_view name, double value);

// Adds one observation to the latency histogram `name` and creates the
// histogram if it does not exist.
void Observe(Registry& registry, std::string_view name, base::Duration latency);

// Returns the latency below which the share `quantile` (0 to 1) of the
// observations lies. The result is the upper edge of the bin that contains this
// latency, at most 100 s, or 0 if the histogram has no observations.
base::Duration Quantile(const LatencyHistogram& histogram, double quantile);

// Formats all metrics in the Prometheus text format. Of each histogram the
// quantiles 0.5, 0.9, 0.99 and 0.999 and the number of observations are
// written.
std::string FormatPrometheus(const Registry& registry);

}  // namespace poplarfork::metrics
