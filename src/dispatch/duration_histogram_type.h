#pragma once

#include <tuple>

#include <boost/histogram.hpp>

namespace poplarfork::dispatch {

// Bins that divide the range from 1 ms to 100 s evenly on a logarithmic axis,
// so that neighbours differ by a fifth. Two further bins count the values
// outside this range.
using DurationBins = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::
                   regular<double, boost::histogram::axis::transform::log>>,
    boost::histogram::dense_storage<float>>;

inline constexpr int kDurationBinCount = 64;
inline constexpr double kShortestDurationUs = 1e3;
inline constexpr double kLongestDurationUs = 1e8;

// Recent durations of one class of work, in microseconds. It takes about 300
// bytes.
struct DurationHistogram {
  DurationBins bins = boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<float>(),
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          kDurationBinCount,
          kShortestDurationUs,
          kLongestDurationUs));
  // Sum of the weights of the bins.
  double weight = 0;
};

}  // namespace poplarfork::dispatch
