#include "health/baseline_func.h"

#include <cmath>

#include "health/service_health_type.h"

namespace poplarfork::health {

namespace {

// 5 is the usual default of proxies that use this method.
constexpr std::uint32_t kConsecutiveFailureLimit = 5;
constexpr base::Duration kSuccessRateInterval = std::chrono::seconds(10);
constexpr double kStandardDeviations = 1.9;
// The usual default is 100 requests. One daemon sends about one request per
// second to each upstream and would never reach that number in an interval, so
// the method would never eject.
constexpr std::uint32_t kMinIntervalRequests = 5;
constexpr std::uint32_t kMinUpstreamsWithEnoughRequests = 5;

bool IsFailure(const UpstreamObservation& observation) {
  return observation.kind == ObservationKind::kFailedResponse ||
         observation.kind == ObservationKind::kTransportFailure;
}

double CountConsecutiveFailures(ServiceHealth& health,
                                std::uint32_t index,
                                const UpstreamObservation& observation,
                                base::TimePoint /*now*/) {
  std::uint32_t& failures =
      health.upstreams[index].detector_state.consecutive_failures;
  failures = IsFailure(observation) ? failures + 1 : 0;
  return 0;
}

DetectionResult EvaluateConsecutiveFailures(const ServiceHealth& health,
                                            std::uint32_t index,
                                            base::TimePoint /*now*/) {
  const std::uint32_t failures =
      health.upstreams[index].detector_state.consecutive_failures;
  DetectionResult result;
  result.suspicion = failures;
  if (failures >= kConsecutiveFailureLimit)
    result.reason = Reason::kConsecutiveFailures;
  return result;
}

std::vector<std::uint32_t> NoSuspectsOnTick(ServiceHealth& /*health*/,
                                            base::TimePoint /*now*/) {
  return {};
}

double CountIntervalRequest(ServiceHealth& health,
                            std::uint32_t index,
                            const UpstreamObservation& observation,
                            base::TimePoint /*now*/) {
  DetectorState& state = health.upstreams[index].detector_state;
  ++state.interval_requests;
  if (IsFailure(observation))
    ++state.interval_failures;
  return 0;
}

DetectionResult EvaluateInterval(const ServiceHealth& health,
                                 std::uint32_t index,
                                 base::TimePoint /*now*/) {
  DetectionResult result;
  result.suspicion = health.upstreams[index].detector_state.interval_failures;
  return result;
}

bool HasEnoughRequests(const DetectorState& state) {
  return state.interval_requests >= kMinIntervalRequests;
}

double SuccessRate(const DetectorState& state) {
  return 1.0 -
         static_cast<double>(state.interval_failures) / state.interval_requests;
}

// Returns the success rate below which an upstream is suspect. The result is
// below 0 if too few upstreams have enough requests.
double SuccessRateThreshold(const ServiceHealth& health) {
  std::uint32_t count = 0;
  double sum = 0;
  double sum_of_squares = 0;
  for (const UpstreamState& upstream : health.upstreams) {
    if (!HasEnoughRequests(upstream.detector_state))
      continue;
    const double rate = SuccessRate(upstream.detector_state);
    ++count;
    sum += rate;
    sum_of_squares += rate * rate;
  }
  if (count < kMinUpstreamsWithEnoughRequests)
    return -1;
  const double mean = sum / count;
  const double variance = std::fmax(0.0, sum_of_squares / count - mean * mean);
  return mean - kStandardDeviations * std::sqrt(variance);
}

std::vector<std::uint32_t> FindSuccessRateOutliers(ServiceHealth& health,
                                                   base::TimePoint now) {
  std::vector<std::uint32_t> suspects;
  if (now - health.baseline_interval_start < kSuccessRateInterval)
    return suspects;
  health.baseline_interval_start = now;
  const double threshold = SuccessRateThreshold(health);
  for (std::uint32_t i = 0; i < health.upstreams.size(); ++i) {
    DetectorState& state = health.upstreams[i].detector_state;
    if (HasEnoughRequests(state) && SuccessRate(state) < threshold)
      suspects.push_back(i);
    state.interval_requests = 0;
    state.interval_failures = 0;
  }
  return suspects;
}

}  // namespace

Detector ConsecutiveFailuresDetector() {
  return {"consecutive_failures", false, CountConsecutiveFailures,
          EvaluateConsecutiveFailures, NoSuspectsOnTick};
}

Detector SuccessRateDetector() {
  return {"success_rate", false, CountIntervalRequest, EvaluateInterval,
          FindSuccessRateOutliers};
}

}  // namespace poplarfork::health
