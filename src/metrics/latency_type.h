#pragma once

#include <boost/histogram.hpp>

namespace poplarfork::metrics {

// Histogram of latencies in microseconds. Its bins divide the range from 10 us
// to 100 s evenly on a logarithmic axis; one underflow and one overflow bin
// count the values outside this range.
using LatencyHistogram = boost::histogram::histogram<std::tuple<
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>>>;

}  // namespace poplarfork::metrics
