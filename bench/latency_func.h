#pragma once

#include <vector>

#include <boost/histogram.hpp>

#include "base/time_type.h"

namespace poplarfork::bench {

using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using LatencyHistogram =
    decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));

// Returns an empty histogram from 1 microsecond to 1,000 s whose bins are 0.5%
// wide.
LatencyHistogram MakeLatencyHistogram();

// Adds one latency. A value outside the histogram's range counts in the first
// or last bin.
void AddLatency(LatencyHistogram& histogram, base::Duration latency);

// Returns the upper edge of the bin that contains the given quantile (0 to 1),
// so the result is exact to one bin. Returns 0 if the histogram is empty.
base::Duration Quantile(const LatencyHistogram& histogram, double quantile);

}  // namespace poplarfork::bench
