#include "health/baseline_func.h"

#include <cmath>

#include "health/service_health_type.h"

namespace poplarfork::health {

namespace {

// 5 is the usual default of proxies that use this method.
constexpr std::uint32_t kFailuresInARow = 5;
constexpr base::Duration kInterval = std::chrono::seconds(10);
constexpr double kDeviations = 1.9;
// The usual default is 100 requests. One daemon sends about one request per
// second to each upstream and would never reach that number in an interval, so
// the method would never eject.
constexpr std::uint32_t kMinimumRequests = 5;
constexpr std::uint32_t kMinimumUpstreams = 5;

bool IsFailure(const Evidence& evidence) {
  return evidence.kind == EvidenceKind::kAnswerFailure ||
         evidence.kind == EvidenceKind::kTransportFailure;
}

double AddConsecutive(ServiceHealth& health,
                      std::uint32_t index,
                      const Evidence& evidence,
                      base::TimePoint /*now*/) {
  std::uint32_t& failures = health.upstreams[index].tests.consecutive_failures;
  failures = IsFailure(evidence) ? failures + 1 : 0;
  return 0;
}

Verdict JudgeConsecutive(const ServiceHealth& health,
                         std::uint32_t index,
                         base::TimePoint /*now*/) {
  const std::uint32_t failures =
      health.upstreams[index].tests.consecutive_failures;
  Verdict verdict;
  verdict.suspicion = failures;
  if (failures >= kFailuresInARow)
    verdict.reason = Reason::kConsecutiveFailures;
  return verdict;
}

std::vector<std::uint32_t> NothingOnTick(ServiceHealth& /*health*/,
                                         base::TimePoint /*now*/) {
  return {};
}

double AddInterval(ServiceHealth& health,
                   std::uint32_t index,
                   const Evidence& evidence,
                   base::TimePoint /*now*/) {
  TestState& tests = health.upstreams[index].tests;
  ++tests.interval_requests;
  if (IsFailure(evidence))
    ++tests.interval_failures;
  return 0;
}

Verdict JudgeInterval(const ServiceHealth& health,
                      std::uint32_t index,
                      base::TimePoint /*now*/) {
  Verdict verdict;
  verdict.suspicion = health.upstreams[index].tests.interval_failures;
  return verdict;
}

bool HasVolume(const TestState& tests) {
  return tests.interval_requests >= kMinimumRequests;
}

double SuccessRate(const TestState& tests) {
  return 1.0 -
         static_cast<double>(tests.interval_failures) / tests.interval_requests;
}

// Returns the success rate below which an upstream is suspect. The result is
// below 0 if too few upstreams have enough requests.
double SuccessRateLimit(const ServiceHealth& health) {
  std::uint32_t count = 0;
  double sum = 0;
  double squares = 0;
  for (const UpstreamState& upstream : health.upstreams) {
    if (!HasVolume(upstream.tests))
      continue;
    const double rate = SuccessRate(upstream.tests);
    ++count;
    sum += rate;
    squares += rate * rate;
  }
  if (count < kMinimumUpstreams)
    return -1;
  const double mean = sum / count;
  const double variance = std::fmax(0.0, squares / count - mean * mean);
  return mean - kDeviations * std::sqrt(variance);
}

std::vector<std::uint32_t> TickInterval(ServiceHealth& health,
                                        base::TimePoint now) {
  std::vector<std::uint32_t> suspects;
  if (now - health.baseline_interval_start < kInterval)
    return suspects;
  health.baseline_interval_start = now;
  const double limit = SuccessRateLimit(health);
  for (std::uint32_t i = 0; i < health.upstreams.size(); ++i) {
    TestState& tests = health.upstreams[i].tests;
    if (HasVolume(tests) && SuccessRate(tests) < limit)
      suspects.push_back(i);
    tests.interval_requests = 0;
    tests.interval_failures = 0;
  }
  return suspects;
}

}  // namespace

Detector ConsecutiveFailuresDetector() {
  return {"consecutive_failures", false, AddConsecutive, JudgeConsecutive,
          NothingOnTick};
}

Detector SuccessRateDetector() {
  return {"success_rate", false, AddInterval, JudgeInterval, TickInterval};
}

}  // namespace poplarfork::health
