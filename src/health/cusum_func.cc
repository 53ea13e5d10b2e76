#include "health/cusum_func.h"

#include <algorithm>
#include <cmath>

#include "health/rate_func.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

namespace {

// Share of bad requests at a faulty upstream for which the tests are designed.
constexpr double kFaultyUpstreamBadShare = 0.5;
// One fast response subtracts at most this much latency evidence, so that the
// test still finds an upstream that is slow for only a part of its requests.
constexpr double kMaxLatencyCreditNats = 1.0;

// A statistic is capped at this multiple of the threshold, so that an upstream
// that the floor keeps in service can recover.
constexpr double kMaxScoreInThresholds = 2;

// Adds `change` to a CUSUM statistic and updates the times of the first and the
// last bad event since the statistic was 0.
void UpdateStatistic(double max_score,
                     double& score,
                     base::TimePoint& first_bad,
                     base::TimePoint& last_bad,
                     double change,
                     base::TimePoint now) {
  if (change > 0) {
    if (score <= 0)
      first_bad = now;
    last_bad = now;
  }
  score = std::clamp(score + change, 0.0, max_score);
}

double OutcomeScoreChange(const BaseRates& rates, ObservationKind kind) {
  if (kind == ObservationKind::kFailedResponse)
    return std::log(kFaultyUpstreamBadShare / rates.failed_response);
  if (kind == ObservationKind::kTransportFailure)
    return std::log(kFaultyUpstreamBadShare / rates.transport_failure);
  const double failure = std::min(
      rates.failed_response + rates.transport_failure, kFaultyUpstreamBadShare);
  return std::log((1 - kFaultyUpstreamBadShare) / (1 - failure));
}

// Returns the log-likelihood ratio of a latency increase by the factor
// `kSlowLatencyRatio` for normally distributed log latencies. The result is
// limited to the evidence that one slow request can give, considering how often
// healthy upstreams are slow.
double LatencyScoreChange(const ServiceHealth& health,
                          std::uint32_t index,
                          const BaseRates& rates,
                          base::Duration latency) {
  if (!health.latency_reference.known || latency.count() <= 0)
    return 0;
  const double shift = std::log(kSlowLatencyRatio);
  const double ratio = LogLatencyRatio(health, index, latency);
  const double change =
      shift / health.latency_reference.variance * (ratio - shift / 2);
  const double max_change =
      latency < kMinSlowLatency
          ? 0
          : std::max(0.0, std::log(kFaultyUpstreamBadShare / rates.slow));
  return std::clamp(change, -kMaxLatencyCreditNats, max_change);
}

double AddObservationToCusum(ServiceHealth& health,
                             std::uint32_t index,
                             const UpstreamObservation& observation,
                             base::TimePoint now) {
  const BaseRates rates = BaseRatesExcluding(health, index, now);
  DetectorState& state = health.upstreams[index].detector_state;
  const double max_score =
      kMaxScoreInThresholds * health.parameters.avoid_threshold;
  if (observation.kind != ObservationKind::kRunning) {
    const double change = OutcomeScoreChange(rates, observation.kind);
    UpdateStatistic(max_score, state.outcome_score, state.first_bad_outcome,
                    state.last_bad_outcome, change, now);
  }
  const double total_change =
      LatencyScoreChange(health, index, rates, observation.latency);
  const double change = total_change - observation.counted_latency_score;
  const bool running = observation.kind == ObservationKind::kRunning;
  if (running && change <= 0)
    return 0;
  UpdateStatistic(max_score, state.latency_score, state.first_bad_latency,
                  state.last_bad_latency, change, now);
  return change;
}

DetectionResult EvaluateCusum(const ServiceHealth& health,
                              std::uint32_t index,
                              base::TimePoint /*now*/) {
  const UpstreamState& upstream = health.upstreams[index];
  const DetectorState& state = upstream.detector_state;
  // An upstream that ramps after a drain or because it is new is no more
  // suspect than the others, so the lower threshold applies only to a ramp
  // after an avoidance.
  const bool ramping =
      upstream.phase == Phase::kRamp && upstream.hold_down_level > 0;
  const double threshold = ramping ? health.parameters.trial_threshold
                                   : health.parameters.avoid_threshold;
  const base::Duration min_span =
      ramping ? base::Duration(0) : health.parameters.min_avoid_span;
  DetectionResult result;
  result.suspicion = std::max(state.outcome_score, state.latency_score);
  if (state.outcome_score >= threshold &&
      state.last_bad_outcome - state.first_bad_outcome >= min_span)
    result.reason = Reason::kFailures;
  else if (state.latency_score >= threshold &&
           state.last_bad_latency - state.first_bad_latency >= min_span)
    result.reason = Reason::kLatency;
  return result;
}

std::vector<std::uint32_t> NoSuspectsOnTick(ServiceHealth& /*health*/,
                                            base::TimePoint /*now*/) {
  return {};
}

}  // namespace

Detector CusumDetector() {
  return {"cusum", true, AddObservationToCusum, EvaluateCusum,
          NoSuspectsOnTick};
}

}  // namespace poplarfork::health
