#include "replay/outcome_func.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>

#include "base/hash_func.h"
#include "base/rng_func.h"

namespace poplarfork::replay {

namespace {

constexpr double kAnswerFailureShare = 0.004;
constexpr double kConnectionLossShare = 0.001;
constexpr double kTailShare = 0.005;
constexpr double kTailFactorMinimum = 3;
constexpr double kTailFactorMaximum = 15;
// The standard deviation of the natural logarithm of the latency.
constexpr double kLatencySpread = 0.5;
constexpr base::Duration kPausePeriod = std::chrono::minutes(2);
constexpr base::Duration kPauseTime = std::chrono::milliseconds(300);

constexpr double kSlowFactor = 6;
constexpr double kWrongShare = 0.7;
constexpr double kPartialShare = 0.35;
constexpr double kOverloadShare = 0.3;
constexpr base::Duration kFlapPeriod = std::chrono::seconds(10);
constexpr base::Duration kFlapBad = std::chrono::seconds(5);

bool Present(const Fault& fault, base::TimePoint at) {
  return fault.kind != FaultKind::kNone && at >= fault.start && at < fault.end;
}

bool Names(const Fault& fault, std::uint32_t upstream) {
  return std::find(fault.upstreams.begin(), fault.upstreams.end(), upstream) !=
         fault.upstreams.end();
}

const base::DataCentreId& DataCentreOf(const Workload& workload,
                                       std::uint32_t upstream) {
  return std::next(workload.service.upstreams.begin(), upstream)
      ->second.data_centre;
}

bool InFirstDataCentre(const Workload& workload,
                       const base::DataCentreId& data_centre) {
  return data_centre == workload.daemons.front().data_centre;
}

bool CrossesPartition(const Workload& workload,
                      std::uint32_t daemon,
                      std::uint32_t upstream) {
  const bool daemon_inside =
      InFirstDataCentre(workload, workload.daemons[daemon].data_centre);
  const bool upstream_inside =
      InFirstDataCentre(workload, DataCentreOf(workload, upstream));
  return daemon_inside != upstream_inside;
}

// Returns the time that a request which arrives at `time` waits for the end of
// a pause of a healthy upstream; 0 outside the pauses. The phase of the pauses
// differs from upstream to upstream.
base::Duration PauseLeft(std::uint32_t upstream, base::TimePoint at) {
  const std::string name = "pause/" + std::to_string(upstream);
  const base::Duration phase(static_cast<std::int64_t>(
      base::StableHash(name) %
      static_cast<std::uint64_t>(kPausePeriod / base::Duration(1))));
  const base::Duration position =
      (at.time_since_epoch() + phase) % base::Duration(kPausePeriod);
  return position < kPauseTime ? kPauseTime - position : base::Duration(0);
}

// Returns how a request to a healthy upstream ends.
Ending HealthyEnding(const Workload& workload, const Arrival& arrival) {
  double factor = std::exp(kLatencySpread * arrival.latency);
  if (arrival.tail < kTailShare) {
    factor *= kTailFactorMinimum + (kTailFactorMaximum - kTailFactorMinimum) *
                                       arrival.tail / kTailShare;
  }
  const double usual = static_cast<double>(workload.usual_latency.count());
  Ending ending;
  ending.latency = base::Duration(static_cast<std::int64_t>(usual * factor)) +
                   PauseLeft(arrival.upstream, arrival.at);
  if (arrival.outcome < kConnectionLossShare)
    ending.outcome = health::RequestOutcome::kConnectionLost;
  else if (arrival.outcome < kConnectionLossShare + kAnswerFailureShare)
    ending.outcome = health::RequestOutcome::kFailure;
  return ending;
}

Ending NoAnswer(const Workload& workload) {
  return {health::RequestOutcome::kTimeout, workload.deadline};
}

bool FlapsNow(const Fault& fault, base::TimePoint at) {
  return (at - fault.start) % base::Duration(kFlapPeriod) < kFlapBad;
}

void FailShare(double share, const Arrival& arrival, Ending& ending) {
  if (arrival.fault < share)
    ending.outcome = health::RequestOutcome::kFailure;
}

// Changes the result of a healthy upstream as the fault requires.
Ending FaultyEnding(const Workload& workload,
                    const Fault& fault,
                    const Arrival& arrival,
                    Ending ending) {
  switch (fault.kind) {
    case FaultKind::kSlow:
      ending.latency *= static_cast<std::int64_t>(kSlowFactor);
      break;
    case FaultKind::kWrongAnswers:
      if (arrival.fault < kWrongShare)
        ending.outcome = health::RequestOutcome::kInvalidResponse;
      break;
    case FaultKind::kPartialFailure:
      FailShare(kPartialShare, arrival, ending);
      break;
    case FaultKind::kHang:
      return NoAnswer(workload);
    case FaultKind::kFlapping:
      if (FlapsNow(fault, arrival.at))
        ending.outcome = health::RequestOutcome::kFailure;
      break;
    case FaultKind::kLyingHealthEndpoint:
      ending.outcome = health::RequestOutcome::kFailure;
      break;
    case FaultKind::kOverload:
      ending.latency *= static_cast<std::int64_t>(kSlowFactor);
      FailShare(kOverloadShare, arrival, ending);
      break;
    case FaultKind::kNone:
    case FaultKind::kOneWayPartition:
    case FaultKind::kPausedObserver:
      break;
  }
  return ending;
}

}  // namespace

Arrival DrawArrival(const Workload& workload,
                    base::TimePoint previous,
                    base::Rng& rng) {
  boost::random::exponential_distribution<double> gap(workload.rate / 1e6);
  boost::random::normal_distribution<double> normal;
  Arrival arrival;
  arrival.at =
      previous + base::Duration(1 + static_cast<std::int64_t>(gap(rng)));
  arrival.daemon = static_cast<std::uint32_t>(
      base::UniformBelow(rng, workload.daemons.size()));
  arrival.upstream = static_cast<std::uint32_t>(
      base::UniformBelow(rng, workload.service.upstreams.size()));
  arrival.routing = base::Uniform01(rng);
  arrival.outcome = base::Uniform01(rng);
  arrival.fault = base::Uniform01(rng);
  arrival.tail = base::Uniform01(rng);
  arrival.latency = normal(rng);
  arrival.fingerprint = rng();
  return arrival;
}

Ending EndingOf(const Workload& workload,
                const Fault& fault,
                const Arrival& arrival) {
  Ending ending = HealthyEnding(workload, arrival);
  if (Present(fault, arrival.at)) {
    if (fault.kind == FaultKind::kOneWayPartition) {
      if (CrossesPartition(workload, arrival.daemon, arrival.upstream))
        return NoAnswer(workload);
    } else if (fault.kind == FaultKind::kOverload ||
               Names(fault, arrival.upstream)) {
      ending = FaultyEnding(workload, fault, arrival, ending);
    }
  }
  if (ending.latency >= workload.deadline)
    return NoAnswer(workload);
  return ending;
}

bool IsFaulty(const Workload& workload,
              const Fault& fault,
              std::uint32_t daemon,
              std::uint32_t upstream,
              base::TimePoint at) {
  if (!Present(fault, at))
    return false;
  if (fault.kind == FaultKind::kOneWayPartition)
    return CrossesPartition(workload, daemon, upstream);
  return Names(fault, upstream);
}

bool IsCutOff(const Workload& workload,
              const Fault& fault,
              std::uint32_t from,
              std::uint32_t to,
              base::TimePoint at) {
  if (fault.kind != FaultKind::kOneWayPartition || !Present(fault, at))
    return false;
  const bool from_inside =
      InFirstDataCentre(workload, workload.daemons[from].data_centre);
  const bool to_inside =
      InFirstDataCentre(workload, workload.daemons[to].data_centre);
  return !from_inside && to_inside;
}

bool ProbePasses(const Workload& workload,
                 const Fault& fault,
                 std::uint32_t daemon,
                 std::uint32_t upstream,
                 base::TimePoint at) {
  if (!Present(fault, at))
    return true;
  if (fault.kind == FaultKind::kOneWayPartition)
    return !CrossesPartition(workload, daemon, upstream);
  return fault.kind != FaultKind::kHang || !Names(fault, upstream);
}

}  // namespace poplarfork::replay
