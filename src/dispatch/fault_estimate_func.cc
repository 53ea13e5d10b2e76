#include "dispatch/fault_estimate_func.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace poplarfork::dispatch {

namespace {

// Mean time that an upstream stays faulty. Gray failures of single upstreams
// last seconds; longer ones are found by their repeated evidence. The mean time
// between them follows from the long-term probability.
constexpr double kMeanFaultySeconds = 6;
constexpr double kChangeRate =
    1 / (kMeanFaultySeconds * (1 - kLongTermFaultProbability));

// Probability that an attempt is lost in each state. A healthy upstream also
// reports failures of its own, and some of its responses take very long.
constexpr double kLostWhenFaulty = 0.7;
constexpr double kLostWhenHealthy = 0.02;

// Durations of one class of work are roughly lognormal with this spread.
constexpr double kDurationSpread = 0.7;
// Lower limit of the probability that a healthy upstream takes as long as an
// open attempt has taken. It limits the evidence of a single attempt, whose
// report may also have been lost.
constexpr double kMinSurvival = 0.02;

double ToOdds(double probability) {
  return probability / (1 - probability);
}

double FromOdds(double odds) {
  return odds / (1 + odds);
}

double Seconds(base::Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

// Returns the probability at `at`, without observations since `estimate.as_of`.
double Predict(const FaultEstimate& estimate, base::TimePoint at) {
  const double age = std::max(Seconds(at - estimate.as_of), 0.0);
  return kLongTermFaultProbability +
         (estimate.probability - kLongTermFaultProbability) *
             std::exp(-kChangeRate * age);
}

// Returns the probability that a healthy upstream takes longer than `elapsed`
// for work that takes `expected` on average.
double Survival(base::Duration elapsed, base::Duration expected) {
  if (elapsed <= base::Duration(0) || expected <= base::Duration(0))
    return 1;
  const double ratio = static_cast<double>(elapsed.count()) /
                       static_cast<double>(expected.count());
  const double deviation =
      (std::log(ratio) + kDurationSpread * kDurationSpread / 2) /
      (kDurationSpread * std::numbers::sqrt2);
  return std::max(0.5 * std::erfc(deviation), kMinSurvival);
}

// Returns the factor by which an attempt that has no outcome after `elapsed`
// changes the odds that the upstream is faulty.
double UnansweredRatio(base::Duration elapsed, base::Duration expected) {
  const double survival = Survival(elapsed, expected);
  return (kLostWhenFaulty + (1 - kLostWhenFaulty) * survival) / survival;
}

// Returns the logarithm of the factor by which an open attempt changes the
// odds that the upstream is faulty.
double OpenAttemptLogRatio(const FaultEstimate& estimate,
                           const OpenAttempt& attempt,
                           base::TimePoint now) {
  const double ratio =
      UnansweredRatio(now - attempt.granted_at, attempt.expected_duration);
  // An outcome of a later attempt says more about the present state.
  const double superseded_s =
      std::max(Seconds(estimate.as_of - attempt.granted_at), 0.0);
  constexpr double kSupersededPerSecond = 3;
  return std::log(ratio) * std::exp(-kSupersededPerSecond * superseded_s);
}

}  // namespace

void Observe(FaultEstimate& estimate,
             Evidence evidence,
             double weight,
             base::TimePoint granted_at) {
  const double ratio = evidence == Evidence::kLost
                           ? kLostWhenFaulty / kLostWhenHealthy
                           : (1 - kLostWhenFaulty) / (1 - kLostWhenHealthy);
  double odds = ToOdds(Predict(estimate, granted_at));
  odds *= std::pow(ratio, weight);
  constexpr double kMinProbability = 0.002;
  constexpr double kMaxProbability = 0.998;
  estimate.probability =
      std::clamp(FromOdds(odds), kMinProbability, kMaxProbability);
  estimate.as_of = std::max(estimate.as_of, granted_at);
}

void ObserveGivenUp(FaultEstimate& estimate,
                    base::Duration age,
                    base::Duration expected,
                    base::TimePoint granted_at) {
  const double lost_ratio = kLostWhenFaulty / kLostWhenHealthy;
  const double weight =
      std::log(UnansweredRatio(age, expected)) / std::log(lost_ratio);
  Observe(estimate, Evidence::kLost, std::clamp(weight, 0.0, 1.0), granted_at);
}

double LossProbability(double fault_probability) {
  return fault_probability * kLostWhenFaulty +
         (1 - fault_probability) * kLostWhenHealthy;
}

double FaultProbability(const UpstreamState& upstream, base::TimePoint now) {
  double log_odds = std::log(ToOdds(Predict(upstream.fault_estimate, now)));
  for (const OpenAttempt& attempt : upstream.open_attempts) {
    // Attempts from before the trial have led to the suspension.
    if (upstream.health_status == HealthStatus::kTrial &&
        attempt.granted_at < upstream.trial_started_at)
      continue;
    log_odds += OpenAttemptLogRatio(upstream.fault_estimate, attempt, now);
  }
  return FromOdds(std::exp(std::min(log_odds, 10.0)));
}

}  // namespace poplarfork::dispatch
