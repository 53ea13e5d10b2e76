#include "health/rate_func.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace poplarfork::health {

namespace {

// The short-term counts show an overload within a second or two. The long-term
// counts give a steady estimate.
constexpr base::Duration kShortHalfLife = std::chrono::seconds(2);
constexpr base::Duration kLongHalfLife = std::chrono::seconds(30);

// Prior shares of bad requests, which are assumed before there are requests. A
// prior has the weight of the given number of requests.
constexpr double kPriorAnswerFailure = 0.005;
constexpr double kPriorTransportFailure = 0.001;
constexpr double kPriorSlow = 0.02;
constexpr double kShortPriorWeight = 20;
constexpr double kLongPriorWeight = 200;
// At a base rate above this share, the tests would take failures for normal.
constexpr double kMaximumBaseRate = 0.4;

// A data centre with fewer short-term requests than this gives no base rate.
constexpr double kMinimumRequests = 5;

// A request rate is computed as if at least this part of a half-life had
// passed.
constexpr double kMinimumLives = 0.03;

// Approximate number of upstreams that are sampled to compute the typical
// latency.
constexpr std::size_t kReferenceSample = 101;
// With fewer latency samples than this, the typical latency counts as unknown.
constexpr std::uint64_t kMinimumLatencySamples = 30;
constexpr base::Duration kReferenceInterval = std::chrono::seconds(1);
// Weights of a new sample in the exponentially weighted mean of the log latency
// and in that of the variance.
constexpr double kUpstreamLatencyShare = 0.1;
constexpr double kVarianceShare = 1.0 / 256;
// Initial value and limits of the variance of log latencies.
constexpr double kInitialVariance = 0.3;
constexpr double kMinimumVariance = 0.1;
constexpr double kMaximumVariance = 1.0;
// The deviation of a log latency is limited to this value, so that outliers do
// not increase the variance.
constexpr double kMaximumDeviation = 1.5;

double LogMicroseconds(base::Duration latency) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
}

void DecayTo(RateCounts& counts,
             base::Duration half_life,
             base::TimePoint now) {
  if (now <= counts.at)
    return;
  const double lives = static_cast<double>((now - counts.at).count()) /
                       static_cast<double>(half_life.count());
  const double factor = std::exp2(-lives);
  counts.requests *= factor;
  counts.answer_failures *= factor;
  counts.transport_failures *= factor;
  counts.slow *= factor;
  counts.at = now;
}

void AddTo(RateCounts& counts,
           base::Duration half_life,
           const Evidence& evidence,
           bool slow,
           base::TimePoint now) {
  DecayTo(counts, half_life, now);
  counts.requests += 1;
  if (evidence.kind == EvidenceKind::kAnswerFailure)
    counts.answer_failures += 1;
  if (evidence.kind == EvidenceKind::kTransportFailure)
    counts.transport_failures += 1;
  if (slow)
    counts.slow += 1;
}

RateCounts Difference(RateCounts total,
                      RateCounts part,
                      base::Duration half_life,
                      base::TimePoint now) {
  DecayTo(total, half_life, now);
  DecayTo(part, half_life, now);
  total.requests = std::max(0.0, total.requests - part.requests);
  total.answer_failures =
      std::max(0.0, total.answer_failures - part.answer_failures);
  total.transport_failures =
      std::max(0.0, total.transport_failures - part.transport_failures);
  total.slow = std::max(0.0, total.slow - part.slow);
  return total;
}

double Share(double bad, double requests, double prior, double weight) {
  return (bad + prior * weight) / (requests + weight);
}

BaseRates RatesOf(const RateCounts& counts, double weight) {
  BaseRates rates;
  rates.answer_failure = Share(counts.answer_failures, counts.requests,
                               kPriorAnswerFailure, weight);
  rates.transport_failure = Share(counts.transport_failures, counts.requests,
                                  kPriorTransportFailure, weight);
  rates.slow = Share(counts.slow, counts.requests, kPriorSlow, weight);
  return rates;
}

BaseRates Higher(const BaseRates& a, const BaseRates& b) {
  const auto higher = [](double x, double y) {
    return std::min(kMaximumBaseRate, std::max(x, y));
  };
  BaseRates rates;
  rates.answer_failure = higher(a.answer_failure, b.answer_failure);
  rates.transport_failure = higher(a.transport_failure, b.transport_failure);
  rates.slow = higher(a.slow, b.slow);
  return rates;
}

double Sum(const BaseRates& rates) {
  return rates.answer_failure + rates.transport_failure + rates.slow;
}

// Returns the rates of the data centre with the lowest rates among those with
// enough requests, without the counts of `excluded` (may be null).
BaseRates LowestRates(const ServiceHealth& health,
                      const UpstreamState* left_out,
                      base::TimePoint now) {
  BaseRates lowest =
      Higher(RatesOf({}, kShortPriorWeight), RatesOf({}, kLongPriorWeight));
  bool found = false;
  for (std::uint32_t i = 0; i < health.counts.size(); ++i) {
    const bool without = left_out != nullptr && left_out->counts_position == i;
    const RateCounts brief = Difference(
        health.counts[i].brief, without ? left_out->brief_counts : RateCounts{},
        kShortHalfLife, now);
    if (brief.requests < kMinimumRequests)
      continue;
    const RateCounts lasting = Difference(
        health.counts[i].lasting,
        without ? left_out->lasting_counts : RateCounts{}, kLongHalfLife, now);
    const BaseRates rates = Higher(RatesOf(brief, kShortPriorWeight),
                                   RatesOf(lasting, kLongPriorWeight));
    if (!found || Sum(rates) < Sum(lowest))
      lowest = rates;
    found = true;
  }
  return lowest;
}

}  // namespace

BaseRates BaseRatesWithout(const ServiceHealth& health,
                           std::uint32_t index,
                           base::TimePoint now) {
  const UpstreamState& upstream = health.upstreams[index];
  return LowestRates(health, &upstream, now);
}

BaseRates BaseRatesOfAll(const ServiceHealth& health, base::TimePoint now) {
  return LowestRates(health, nullptr, now);
}

void PlaceInCounts(ServiceHealth& health, std::uint32_t index) {
  UpstreamState& upstream = health.upstreams[index];
  std::uint32_t position = 0;
  while (position < health.counts.size() &&
         health.counts[position].data_centre != upstream.data_centre)
    ++position;
  if (position == health.counts.size())
    health.counts.push_back({upstream.data_centre, {}, {}});
  upstream.counts_position = position;
}

void CountRequest(ServiceHealth& health,
                  std::uint32_t index,
                  const Evidence& evidence,
                  base::TimePoint now) {
  UpstreamState& upstream = health.upstreams[index];
  DataCentreCounts& counts = health.counts[upstream.counts_position];
  const bool slow = IsSlow(health, index, evidence.latency);
  AddTo(upstream.brief_counts, kShortHalfLife, evidence, slow, now);
  AddTo(upstream.lasting_counts, kLongHalfLife, evidence, slow, now);
  AddTo(counts.brief, kShortHalfLife, evidence, slow, now);
  AddTo(counts.lasting, kLongHalfLife, evidence, slow, now);
}

void ForgetCounts(ServiceHealth& health,
                  std::uint32_t index,
                  base::TimePoint now) {
  UpstreamState& upstream = health.upstreams[index];
  DataCentreCounts& counts = health.counts[upstream.counts_position];
  counts.brief =
      Difference(counts.brief, upstream.brief_counts, kShortHalfLife, now);
  counts.lasting =
      Difference(counts.lasting, upstream.lasting_counts, kLongHalfLife, now);
  upstream.brief_counts = RateCounts{};
  upstream.lasting_counts = RateCounts{};
}

double RequestRate(const ServiceHealth& health, base::TimePoint now) {
  RateCounts counts;
  for (DataCentreCounts part : health.counts) {
    DecayTo(part.lasting, kLongHalfLife, now);
    counts.requests += part.lasting.requests;
  }
  const double half_life_s =
      std::chrono::duration<double>(kLongHalfLife).count();
  // Until several half-lives have passed, the decayed count covers less time
  // than it does later.
  const double lives =
      std::chrono::duration<double>(now - health.built).count() / half_life_s;
  const double covered = 1 - std::exp2(-std::max(lives, kMinimumLives));
  return counts.requests * std::log(2.0) / half_life_s / covered;
}

double LogLatencyRatio(const ServiceHealth& health,
                       std::uint32_t index,
                       base::Duration latency) {
  if (!health.reference.known || latency.count() <= 0)
    return 0;
  const UpstreamState& upstream = health.upstreams[index];
  const bool in_upper_half = upstream.latency_samples > 0 &&
                             upstream.log_latency >= health.reference.upper;
  const double others =
      in_upper_half ? health.reference.lower : health.reference.upper;
  return LogMicroseconds(latency) - others;
}

bool IsSlow(const ServiceHealth& health,
            std::uint32_t index,
            base::Duration latency) {
  if (latency < kMinimumSlow)
    return false;
  return LogLatencyRatio(health, index, latency) >= std::log(kSlowRatio);
}

void CountLatency(ServiceHealth& health,
                  std::uint32_t index,
                  base::Duration latency) {
  if (latency.count() <= 0)
    return;
  UpstreamState& upstream = health.upstreams[index];
  const double value = LogMicroseconds(latency);
  ++upstream.latency_samples;
  const double share =
      std::max(kUpstreamLatencyShare, 1.0 / upstream.latency_samples);
  upstream.log_latency += share * (value - upstream.log_latency);
  const double ratio = LogLatencyRatio(health, index, latency);
  if (!health.reference.known)
    return;
  const double deviation =
      std::clamp(ratio, -kMaximumDeviation, kMaximumDeviation);
  double& variance = health.reference.variance;
  variance += kVarianceShare * (deviation * deviation - variance);
  variance = std::clamp(variance, kMinimumVariance, kMaximumVariance);
}

void RefreshReference(ServiceHealth& health, base::TimePoint now) {
  LatencyReference& reference = health.reference;
  if (reference.known && now - reference.refreshed < kReferenceInterval)
    return;
  std::vector<double> values;
  std::uint64_t samples = 0;
  const std::size_t step = 1 + health.upstreams.size() / kReferenceSample;
  for (std::size_t i = 0; i < health.upstreams.size(); i += step) {
    const UpstreamState& upstream = health.upstreams[i];
    samples += upstream.latency_samples;
    if (upstream.latency_samples > 0)
      values.push_back(upstream.log_latency);
  }
  if (values.size() < 2 || samples < kMinimumLatencySamples)
    return;
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  reference.lower = values[middle - 1];
  reference.upper = values[middle];
  reference.refreshed = now;
  if (!reference.known)
    reference.variance = kInitialVariance;
  reference.known = true;
}

}  // namespace poplarfork::health
