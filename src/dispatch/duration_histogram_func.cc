#include "dispatch/duration_histogram_func.h"

namespace poplarfork::dispatch {

namespace {

// Weight at which all bins are halved. Half of it leaves some ten durations in
// the slowest twentieth, from which the moment of a hedge is read.
constexpr double kMaxWeight = 512;

}  // namespace

void AddDuration(DurationHistogram& histogram, base::Duration duration) {
  if (histogram.weight >= kMaxWeight) {
    histogram.bins *= 0.5;
    histogram.weight *= 0.5;
  }
  histogram.bins(static_cast<double>(duration.count()));
  histogram.weight += 1;
}

}  // namespace poplarfork::dispatch
