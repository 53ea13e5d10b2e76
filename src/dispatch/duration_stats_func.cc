#include "dispatch/duration_stats_func.h"

#include <algorithm>

#include "dispatch/duration_histogram_func.h"

namespace poplarfork::dispatch {

namespace {

// Weight of the newest duration in the mean duration of a class of work. The
// first samples count more.
constexpr double kMeanDurationGain = 0.02;
constexpr std::uint32_t kWarmUpSamples = 20;

// Durations above this many times the mean come from slow upstreams. They are
// limited before they are counted, so that the mean remains that of healthy
// upstreams.
constexpr double kMaxMeanRatio = 3;

// Share of the typical duration below which a response is short. Durations of
// one kind of work rarely differ by more than a factor of ten.
constexpr double kShortResponseShare = 1.0 / 16;

// Share of short responses above which they are the work of the class.
constexpr double kMaxShortShare = 0.9;

// Returns the mean of the durations in which each counts in proportion to its
// length. Half of the time of the upstreams is spent on requests around it,
// however many short ones there are.
double TypicalUs(const DurationStats& stats) {
  if (stats.sum_us <= 0)
    return stats.mean_us;
  return stats.square_sum_us2 / stats.sum_us;
}

double ShortLimitUs(const DurationStats& stats) {
  return kShortResponseShare * TypicalUs(stats);
}

void AddToTypical(DurationStats& stats, double duration_us) {
  if (stats.sum_us <= 0 && stats.mean_us > 0) {
    stats.sum_us = stats.mean_us;
    stats.square_sum_us2 = stats.mean_us * stats.mean_us;
  }
  const double typical_us = TypicalUs(stats);
  // The first long response may be hundreds of times as long as short ones.
  const double limited_us =
      stats.samples > kWarmUpSamples && stats.mean_us >= ShortLimitUs(stats)
          ? std::min(duration_us, 8 * typical_us)
          : duration_us;
  stats.sum_us += limited_us - kMeanDurationGain * stats.sum_us;
  stats.square_sum_us2 +=
      limited_us * limited_us - kMeanDurationGain * stats.square_sum_us2;
}

void AddToMean(DurationStats& stats, double duration_us) {
  // The durations before were those of short responses.
  if (stats.samples > 0 && stats.mean_us < ShortLimitUs(stats)) {
    stats.mean_us = 0;
    stats.samples = 0;
    stats.histogram = {};
  }
  ++stats.samples;
  const double gain =
      std::max(kMeanDurationGain,
               1.0 / (1 + std::min(stats.samples, kWarmUpSamples * 10)));
  const double limited_us =
      stats.samples > kWarmUpSamples
          ? std::min(duration_us, kMaxMeanRatio * stats.mean_us)
          : duration_us;
  stats.mean_us += gain * (limited_us - stats.mean_us);
}

}  // namespace

bool IsShortResponse(const DurationStats& stats, base::Duration duration) {
  return stats.short_share <= kMaxShortShare &&
         static_cast<double>(duration.count()) < ShortLimitUs(stats);
}

void AddResponseDuration(DurationStats& stats,
                         base::Duration duration,
                         bool is_short) {
  const double duration_us = static_cast<double>(duration.count());
  AddToTypical(stats, duration_us);
  const bool is_below_limit = duration_us < ShortLimitUs(stats);
  stats.short_share +=
      kMeanDurationGain * ((is_below_limit ? 1 : 0) - stats.short_share);
  if (is_short)
    return;
  AddToMean(stats, duration_us);
  AddDuration(stats.histogram, duration);
}

double MeanResponseUs(const DurationStats& stats) {
  return (1 - stats.short_share) * stats.mean_us;
}

}  // namespace poplarfork::dispatch
