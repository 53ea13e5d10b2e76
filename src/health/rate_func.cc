#include "health/rate_func.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace poplarfork::health {

namespace {

// The short-term counts show an overload within a second or two. The long-term
// counts give a steady estimate.
constexpr base::Duration kShortTermHalfLife = std::chrono::seconds(2);
constexpr base::Duration kLongTermHalfLife = std::chrono::seconds(30);

// Prior shares of bad requests, which are assumed before there are requests. A
// prior has the weight of the given number of requests.
constexpr double kPriorFailedResponseShare = 0.005;
constexpr double kPriorTransportFailureShare = 0.001;
constexpr double kPriorSlowShare = 0.02;
constexpr double kShortTermPriorRequests = 20;
constexpr double kLongTermPriorRequests = 200;
// At a base rate above this share, the tests would take failures for normal.
constexpr double kMaxBaseRate = 0.4;

// A data centre with fewer short-term requests than this gives no base rate.
constexpr double kMinBaseRateRequests = 5;

// A request rate is computed as if at least this part of a half-life had
// passed.
constexpr double kMinHalfLives = 0.03;

// Approximate number of upstreams that are sampled to compute the typical
// latency.
constexpr std::size_t kReferenceSampleSize = 101;
// With fewer latency samples than this, the typical latency counts as unknown.
constexpr std::uint64_t kMinLatencySamples = 30;
constexpr base::Duration kReferenceInterval = std::chrono::seconds(1);
// Weights of a new sample in the exponentially weighted mean of the log latency
// and in that of the variance.
constexpr double kLatencySmoothing = 0.1;
constexpr double kVarianceSmoothing = 1.0 / 256;
// Initial value and limits of the variance of log latencies.
constexpr double kInitialVariance = 0.3;
constexpr double kMinVariance = 0.1;
constexpr double kMaxVariance = 1.0;
// The deviation of a log latency is limited to this value, so that outliers do
// not increase the variance.
constexpr double kMaxLogDeviation = 1.5;

double LogMicroseconds(base::Duration latency) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
}

void DecayCounts(RateCounts& counts,
                 base::Duration half_life,
                 base::TimePoint now) {
  if (now <= counts.updated_at)
    return;
  const double half_lives =
      static_cast<double>((now - counts.updated_at).count()) /
      static_cast<double>(half_life.count());
  const double factor = std::exp2(-half_lives);
  counts.requests *= factor;
  counts.failed_responses *= factor;
  counts.transport_failures *= factor;
  counts.slow *= factor;
  counts.updated_at = now;
}

void AddObservation(RateCounts& counts,
                    base::Duration half_life,
                    const UpstreamObservation& observation,
                    bool slow,
                    base::TimePoint now) {
  DecayCounts(counts, half_life, now);
  counts.requests += 1;
  if (observation.kind == ObservationKind::kFailedResponse)
    counts.failed_responses += 1;
  if (observation.kind == ObservationKind::kTransportFailure)
    counts.transport_failures += 1;
  if (slow)
    counts.slow += 1;
}

RateCounts SubtractCounts(RateCounts total,
                          RateCounts part,
                          base::Duration half_life,
                          base::TimePoint now) {
  DecayCounts(total, half_life, now);
  DecayCounts(part, half_life, now);
  total.requests = std::max(0.0, total.requests - part.requests);
  total.failed_responses =
      std::max(0.0, total.failed_responses - part.failed_responses);
  total.transport_failures =
      std::max(0.0, total.transport_failures - part.transport_failures);
  total.slow = std::max(0.0, total.slow - part.slow);
  return total;
}

double SmoothedShare(double bad,
                     double requests,
                     double prior,
                     double prior_requests) {
  return (bad + prior * prior_requests) / (requests + prior_requests);
}

BaseRates EstimateRates(const RateCounts& counts, double prior_requests) {
  BaseRates rates;
  rates.failed_response =
      SmoothedShare(counts.failed_responses, counts.requests,
                    kPriorFailedResponseShare, prior_requests);
  rates.transport_failure =
      SmoothedShare(counts.transport_failures, counts.requests,
                    kPriorTransportFailureShare, prior_requests);
  rates.slow = SmoothedShare(counts.slow, counts.requests, kPriorSlowShare,
                             prior_requests);
  return rates;
}

BaseRates HigherRates(const BaseRates& a, const BaseRates& b) {
  const auto higher = [](double x, double y) {
    return std::min(kMaxBaseRate, std::max(x, y));
  };
  BaseRates rates;
  rates.failed_response = higher(a.failed_response, b.failed_response);
  rates.transport_failure = higher(a.transport_failure, b.transport_failure);
  rates.slow = higher(a.slow, b.slow);
  return rates;
}

double SumRates(const BaseRates& rates) {
  return rates.failed_response + rates.transport_failure + rates.slow;
}

// Returns the rates of the data centre with the lowest rates among those with
// enough requests, without the counts of `excluded` (may be null).
BaseRates LowestRates(const ServiceHealth& health,
                      const UpstreamState* excluded,
                      base::TimePoint now) {
  BaseRates lowest = HigherRates(EstimateRates({}, kShortTermPriorRequests),
                                 EstimateRates({}, kLongTermPriorRequests));
  bool found = false;
  for (std::uint32_t i = 0; i < health.data_centre_counts.size(); ++i) {
    const bool subtract_excluded =
        excluded != nullptr && excluded->data_centre_counts_index == i;
    const RateCounts short_term = SubtractCounts(
        health.data_centre_counts[i].short_term,
        subtract_excluded ? excluded->short_term_counts : RateCounts{},
        kShortTermHalfLife, now);
    if (short_term.requests < kMinBaseRateRequests)
      continue;
    const RateCounts long_term = SubtractCounts(
        health.data_centre_counts[i].long_term,
        subtract_excluded ? excluded->long_term_counts : RateCounts{},
        kLongTermHalfLife, now);
    const BaseRates rates =
        HigherRates(EstimateRates(short_term, kShortTermPriorRequests),
                    EstimateRates(long_term, kLongTermPriorRequests));
    if (!found || SumRates(rates) < SumRates(lowest))
      lowest = rates;
    found = true;
  }
  return lowest;
}

}  // namespace

BaseRates BaseRatesExcluding(const ServiceHealth& health,
                             std::uint32_t index,
                             base::TimePoint now) {
  const UpstreamState& upstream = health.upstreams[index];
  return LowestRates(health, &upstream, now);
}

BaseRates BaseRatesOfAllUpstreams(const ServiceHealth& health,
                                  base::TimePoint now) {
  return LowestRates(health, nullptr, now);
}

void AssignDataCentreCounts(ServiceHealth& health, std::uint32_t index) {
  UpstreamState& upstream = health.upstreams[index];
  std::uint32_t position = 0;
  while (position < health.data_centre_counts.size() &&
         health.data_centre_counts[position].data_centre !=
             upstream.data_centre)
    ++position;
  if (position == health.data_centre_counts.size())
    health.data_centre_counts.push_back({upstream.data_centre, {}, {}});
  upstream.data_centre_counts_index = position;
}

void CountRequest(ServiceHealth& health,
                  std::uint32_t index,
                  const UpstreamObservation& observation,
                  base::TimePoint now) {
  UpstreamState& upstream = health.upstreams[index];
  DataCentreCounts& counts =
      health.data_centre_counts[upstream.data_centre_counts_index];
  const bool slow = IsSlow(health, index, observation.latency);
  AddObservation(upstream.short_term_counts, kShortTermHalfLife, observation,
                 slow, now);
  AddObservation(upstream.long_term_counts, kLongTermHalfLife, observation,
                 slow, now);
  AddObservation(counts.short_term, kShortTermHalfLife, observation, slow, now);
  AddObservation(counts.long_term, kLongTermHalfLife, observation, slow, now);
}

void SubtractUpstreamCounts(ServiceHealth& health,
                            std::uint32_t index,
                            base::TimePoint now) {
  UpstreamState& upstream = health.upstreams[index];
  DataCentreCounts& counts =
      health.data_centre_counts[upstream.data_centre_counts_index];
  counts.short_term = SubtractCounts(
      counts.short_term, upstream.short_term_counts, kShortTermHalfLife, now);
  counts.long_term = SubtractCounts(counts.long_term, upstream.long_term_counts,
                                    kLongTermHalfLife, now);
  upstream.short_term_counts = RateCounts{};
  upstream.long_term_counts = RateCounts{};
}

double RequestRate(const ServiceHealth& health, base::TimePoint now) {
  RateCounts counts;
  for (DataCentreCounts part : health.data_centre_counts) {
    DecayCounts(part.long_term, kLongTermHalfLife, now);
    counts.requests += part.long_term.requests;
  }
  const double half_life_s =
      std::chrono::duration<double>(kLongTermHalfLife).count();
  // Until several half-lives have passed, the decayed count covers less time
  // than it does later.
  const double half_lives =
      std::chrono::duration<double>(now - health.built_at).count() /
      half_life_s;
  const double covered_share =
      1 - std::exp2(-std::max(half_lives, kMinHalfLives));
  return counts.requests * std::log(2.0) / half_life_s / covered_share;
}

double LogLatencyRatio(const ServiceHealth& health,
                       std::uint32_t index,
                       base::Duration latency) {
  if (!health.latency_reference.known || latency.count() <= 0)
    return 0;
  const UpstreamState& upstream = health.upstreams[index];
  const bool in_upper_half =
      upstream.latency_samples > 0 &&
      upstream.mean_log_latency >= health.latency_reference.upper_median;
  const double typical_of_others = in_upper_half
                                       ? health.latency_reference.lower_median
                                       : health.latency_reference.upper_median;
  return LogMicroseconds(latency) - typical_of_others;
}

bool IsSlow(const ServiceHealth& health,
            std::uint32_t index,
            base::Duration latency) {
  if (latency < kMinSlowLatency)
    return false;
  return LogLatencyRatio(health, index, latency) >= std::log(kSlowLatencyRatio);
}

void AddLatencySample(ServiceHealth& health,
                      std::uint32_t index,
                      base::Duration latency) {
  if (latency.count() <= 0)
    return;
  UpstreamState& upstream = health.upstreams[index];
  const double value = LogMicroseconds(latency);
  ++upstream.latency_samples;
  const double smoothing =
      std::max(kLatencySmoothing, 1.0 / upstream.latency_samples);
  upstream.mean_log_latency += smoothing * (value - upstream.mean_log_latency);
  const double ratio = LogLatencyRatio(health, index, latency);
  if (!health.latency_reference.known)
    return;
  const double deviation =
      std::clamp(ratio, -kMaxLogDeviation, kMaxLogDeviation);
  double& variance = health.latency_reference.variance;
  variance += kVarianceSmoothing * (deviation * deviation - variance);
  variance = std::clamp(variance, kMinVariance, kMaxVariance);
}

void RefreshLatencyReference(ServiceHealth& health, base::TimePoint now) {
  LatencyReference& reference = health.latency_reference;
  if (reference.known && now - reference.last_refresh < kReferenceInterval)
    return;
  std::vector<double> values;
  std::uint64_t samples = 0;
  const std::size_t stride = 1 + health.upstreams.size() / kReferenceSampleSize;
  for (std::size_t i = 0; i < health.upstreams.size(); i += stride) {
    const UpstreamState& upstream = health.upstreams[i];
    samples += upstream.latency_samples;
    if (upstream.latency_samples > 0)
      values.push_back(upstream.mean_log_latency);
  }
  if (values.size() < 2 || samples < kMinLatencySamples)
    return;
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  reference.lower_median = values[middle - 1];
  reference.upper_median = values[middle];
  reference.last_refresh = now;
  if (!reference.known)
    reference.variance = kInitialVariance;
  reference.known = true;
}

}  // namespace poplarfork::health
