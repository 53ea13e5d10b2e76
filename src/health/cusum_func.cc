#include "health/cusum_func.h"

#include <algorithm>
#include <cmath>

#include "health/rate_func.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

namespace {

// Share of bad requests at a faulty upstream for which the tests are designed.
constexpr double kFaultyShare = 0.5;
// One fast response subtracts at most this much latency evidence, so that the
// test still finds an upstream that is slow for only a part of its requests.
constexpr double kMaximumLatencyCredit = 1.0;

// A statistic is capped at this multiple of the threshold, so that an upstream
// that the floor keeps in service can recover.
constexpr double kMaximumThresholds = 2;

// Adds `change` to a CUSUM statistic and updates the times of the first and the
// last bad event since the statistic was 0.
void Step(double most,
          double& score,
          base::TimePoint& first,
          base::TimePoint& last,
          double change,
          base::TimePoint now) {
  if (change > 0) {
    if (score <= 0)
      first = now;
    last = now;
  }
  score = std::clamp(score + change, 0.0, most);
}

double OutcomeChange(const BaseRates& rates, EvidenceKind kind) {
  if (kind == EvidenceKind::kAnswerFailure)
    return std::log(kFaultyShare / rates.answer_failure);
  if (kind == EvidenceKind::kTransportFailure)
    return std::log(kFaultyShare / rates.transport_failure);
  const double failure =
      std::min(rates.answer_failure + rates.transport_failure, kFaultyShare);
  return std::log((1 - kFaultyShare) / (1 - failure));
}

// Returns the log-likelihood ratio of a latency increase by the factor
// `kSlowLatencyRatio` for normally distributed log latencies. The result is
// limited to the evidence that one slow request can give, considering how often
// healthy upstreams are slow.
double LatencyChange(const ServiceHealth& health,
                     std::uint32_t index,
                     const BaseRates& rates,
                     base::Duration latency) {
  if (!health.reference.known || latency.count() <= 0)
    return 0;
  const double shift = std::log(kSlowRatio);
  const double ratio = LogLatencyRatio(health, index, latency);
  const double change = shift / health.reference.variance * (ratio - shift / 2);
  const double most = latency < kMinimumSlow
                          ? 0
                          : std::max(0.0, std::log(kFaultyShare / rates.slow));
  return std::clamp(change, -kMaximumLatencyCredit, most);
}

double AddCusum(ServiceHealth& health,
                std::uint32_t index,
                const Evidence& evidence,
                base::TimePoint now) {
  const BaseRates rates = BaseRatesWithout(health, index, now);
  TestState& tests = health.upstreams[index].tests;
  const double most = kMaximumThresholds * health.parameters.avoid_threshold;
  if (evidence.kind != EvidenceKind::kRunning) {
    const double change = OutcomeChange(rates, evidence.kind);
    Step(most, tests.outcome_score, tests.outcome_first, tests.outcome_last,
         change, now);
  }
  const double total = LatencyChange(health, index, rates, evidence.latency);
  const double change = total - evidence.counted;
  const bool running = evidence.kind == EvidenceKind::kRunning;
  if (running && change <= 0)
    return 0;
  Step(most, tests.latency_score, tests.latency_first, tests.latency_last,
       change, now);
  return change;
}

Verdict JudgeCusum(const ServiceHealth& health,
                   std::uint32_t index,
                   base::TimePoint /*now*/) {
  const UpstreamState& upstream = health.upstreams[index];
  const TestState& tests = upstream.tests;
  // An upstream that ramps after a drain or because it is new is no more
  // suspect than the others, so the lower threshold applies only to a ramp
  // after an avoidance.
  const bool ramping =
      upstream.phase == Phase::kRamp && upstream.hold_level > 0;
  const double threshold = ramping ? health.parameters.trial_threshold
                                   : health.parameters.avoid_threshold;
  const base::Duration span =
      ramping ? base::Duration(0) : health.parameters.own_span;
  Verdict verdict;
  verdict.suspicion = std::max(tests.outcome_score, tests.latency_score);
  if (tests.outcome_score >= threshold &&
      tests.outcome_last - tests.outcome_first >= span)
    verdict.reason = Reason::kFailures;
  else if (tests.latency_score >= threshold &&
           tests.latency_last - tests.latency_first >= span)
    verdict.reason = Reason::kLatency;
  return verdict;
}

std::vector<std::uint32_t> NothingOnTick(ServiceHealth& /*health*/,
                                         base::TimePoint /*now*/) {
  return {};
}

}  // namespace

Detector CusumDetector() {
  return {"cusum", true, AddCusum, JudgeCusum, NothingOnTick};
}

}  // namespace poplarfork::health
