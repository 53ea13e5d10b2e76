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

constexpr double kFailedResponseShare = 0.004;
constexpr double kConnectionLossShare = 0.001;
constexpr double kSlowTailShare = 0.005;
constexpr double kMinTailFactor = 3;
constexpr double kMaxTailFactor = 15;
// The standard deviation of the natural logarithm of the latency.
constexpr double kLogLatencyDeviation = 0.5;
constexpr base::Duration kUpstreamPausePeriod = std::chrono::minutes(2);
constexpr base::Duration kUpstreamPauseTime = std::chrono::milliseconds(300);

constexpr double kSlowLatencyFactor = 6;
constexpr double kInvalidResponseShare = 0.7;
constexpr double kPartialFailureShare = 0.35;
constexpr double kOverloadFailureShare = 0.3;
constexpr base::Duration kFlappingPeriod = std::chrono::seconds(10);
constexpr base::Duration kFlappingFailureTime = std::chrono::seconds(5);

bool IsFaultPresent(const Fault& fault, base::TimePoint time) {
  return fault.kind != FaultKind::kNone && time >= fault.start &&
         time < fault.end;
}

bool AffectsUpstream(const Fault& fault, std::uint32_t upstream_index) {
  return std::find(fault.upstream_indices.begin(), fault.upstream_indices.end(),
                   upstream_index) != fault.upstream_indices.end();
}

const base::DataCentreId& UpstreamDataCentre(const Workload& workload,
                                             std::uint32_t upstream_index) {
  return std::next(workload.service.upstreams.begin(), upstream_index)
      ->second.data_centre;
}

bool IsFirstDataCentre(const Workload& workload,
                       const base::DataCentreId& data_centre) {
  return data_centre == workload.daemons.front().data_centre;
}

bool CrossesPartition(const Workload& workload,
                      std::uint32_t daemon_index,
                      std::uint32_t upstream_index) {
  const bool is_daemon_inside =
      IsFirstDataCentre(workload, workload.daemons[daemon_index].data_centre);
  const bool is_upstream_inside =
      IsFirstDataCentre(workload, UpstreamDataCentre(workload, upstream_index));
  return is_daemon_inside != is_upstream_inside;
}

// Returns the time that a request which arrives at `time` waits for the end of
// a pause of a healthy upstream; 0 outside the pauses. The phase of the pauses
// differs from upstream to upstream.
base::Duration RemainingPauseTime(std::uint32_t upstream_index,
                                  base::TimePoint time) {
  const std::string hash_input = "pause/" + std::to_string(upstream_index);
  const base::Duration period_offset(static_cast<std::int64_t>(
      base::StableHash(hash_input) %
      static_cast<std::uint64_t>(kUpstreamPausePeriod / base::Duration(1))));
  const base::Duration time_in_period =
      (time.time_since_epoch() + period_offset) %
      base::Duration(kUpstreamPausePeriod);
  return time_in_period < kUpstreamPauseTime
             ? kUpstreamPauseTime - time_in_period
             : base::Duration(0);
}

// Returns how a request to a healthy upstream ends.
ArrivalResult ComputeHealthyResult(const Workload& workload,
                                   const Arrival& arrival) {
  double factor = std::exp(kLogLatencyDeviation * arrival.latency_draw);
  if (arrival.tail_draw < kSlowTailShare) {
    factor *= kMinTailFactor + (kMaxTailFactor - kMinTailFactor) *
                                   arrival.tail_draw / kSlowTailShare;
  }
  const double typical_latency_us =
      static_cast<double>(workload.typical_latency.count());
  ArrivalResult result;
  result.latency =
      base::Duration(static_cast<std::int64_t>(typical_latency_us * factor)) +
      RemainingPauseTime(arrival.upstream_index, arrival.arrived_at);
  if (arrival.outcome_draw < kConnectionLossShare)
    result.outcome = health::RequestOutcome::kConnectionLost;
  else if (arrival.outcome_draw < kConnectionLossShare + kFailedResponseShare)
    result.outcome = health::RequestOutcome::kFailure;
  return result;
}

ArrivalResult MakeTimeoutResult(const Workload& workload) {
  return {health::RequestOutcome::kTimeout, workload.deadline};
}

bool IsInFlappingFailure(const Fault& fault, base::TimePoint time) {
  return (time - fault.start) % base::Duration(kFlappingPeriod) <
         kFlappingFailureTime;
}

void ApplyFailureShare(double share,
                       const Arrival& arrival,
                       ArrivalResult& result) {
  if (arrival.fault_draw < share)
    result.outcome = health::RequestOutcome::kFailure;
}

// Changes the result of a healthy upstream as the fault requires.
ArrivalResult ApplyFault(const Workload& workload,
                         const Fault& fault,
                         const Arrival& arrival,
                         ArrivalResult result) {
  switch (fault.kind) {
    case FaultKind::kSlow:
      result.latency *= static_cast<std::int64_t>(kSlowLatencyFactor);
      break;
    case FaultKind::kInvalidResponses:
      if (arrival.fault_draw < kInvalidResponseShare)
        result.outcome = health::RequestOutcome::kInvalidResponse;
      break;
    case FaultKind::kPartialFailure:
      ApplyFailureShare(kPartialFailureShare, arrival, result);
      break;
    case FaultKind::kHang:
      return MakeTimeoutResult(workload);
    case FaultKind::kFlapping:
      if (IsInFlappingFailure(fault, arrival.arrived_at))
        result.outcome = health::RequestOutcome::kFailure;
      break;
    case FaultKind::kMisleadingHealthEndpoint:
      result.outcome = health::RequestOutcome::kFailure;
      break;
    case FaultKind::kOverload:
      result.latency *= static_cast<std::int64_t>(kSlowLatencyFactor);
      ApplyFailureShare(kOverloadFailureShare, arrival, result);
      break;
    case FaultKind::kNone:
    case FaultKind::kOneWayPartition:
    case FaultKind::kPausedObserver:
      break;
  }
  return result;
}

}  // namespace

Arrival DrawArrival(const Workload& workload,
                    base::TimePoint previous,
                    base::Rng& rng) {
  boost::random::exponential_distribution<double> interarrival_time(
      workload.requests_per_second / 1e6);
  boost::random::normal_distribution<double> standard_normal;
  Arrival arrival;
  arrival.arrived_at =
      previous +
      base::Duration(1 + static_cast<std::int64_t>(interarrival_time(rng)));
  arrival.daemon_index = static_cast<std::uint32_t>(
      base::UniformBelow(rng, workload.daemons.size()));
  arrival.upstream_index = static_cast<std::uint32_t>(
      base::UniformBelow(rng, workload.service.upstreams.size()));
  arrival.routing_draw = base::Uniform01(rng);
  arrival.outcome_draw = base::Uniform01(rng);
  arrival.fault_draw = base::Uniform01(rng);
  arrival.tail_draw = base::Uniform01(rng);
  arrival.latency_draw = standard_normal(rng);
  arrival.fingerprint = rng();
  return arrival;
}

ArrivalResult ComputeArrivalResult(const Workload& workload,
                                   const Fault& fault,
                                   const Arrival& arrival) {
  ArrivalResult result = ComputeHealthyResult(workload, arrival);
  if (IsFaultPresent(fault, arrival.arrived_at)) {
    if (fault.kind == FaultKind::kOneWayPartition) {
      if (CrossesPartition(workload, arrival.daemon_index,
                           arrival.upstream_index))
        return MakeTimeoutResult(workload);
    } else if (fault.kind == FaultKind::kOverload ||
               AffectsUpstream(fault, arrival.upstream_index)) {
      result = ApplyFault(workload, fault, arrival, result);
    }
  }
  if (result.latency >= workload.deadline)
    return MakeTimeoutResult(workload);
  return result;
}

bool IsFaulty(const Workload& workload,
              const Fault& fault,
              std::uint32_t daemon_index,
              std::uint32_t upstream_index,
              base::TimePoint time) {
  if (!IsFaultPresent(fault, time))
    return false;
  if (fault.kind == FaultKind::kOneWayPartition)
    return CrossesPartition(workload, daemon_index, upstream_index);
  return AffectsUpstream(fault, upstream_index);
}

bool IsMessageLost(const Workload& workload,
                   const Fault& fault,
                   std::uint32_t sender,
                   std::uint32_t receiver,
                   base::TimePoint time) {
  if (fault.kind != FaultKind::kOneWayPartition || !IsFaultPresent(fault, time))
    return false;
  const bool is_sender_inside =
      IsFirstDataCentre(workload, workload.daemons[sender].data_centre);
  const bool is_receiver_inside =
      IsFirstDataCentre(workload, workload.daemons[receiver].data_centre);
  return !is_sender_inside && is_receiver_inside;
}

bool ProbePasses(const Workload& workload,
                 const Fault& fault,
                 std::uint32_t daemon_index,
                 std::uint32_t upstream_index,
                 base::TimePoint time) {
  if (!IsFaultPresent(fault, time))
    return true;
  if (fault.kind == FaultKind::kOneWayPartition)
    return !CrossesPartition(workload, daemon_index, upstream_index);
  return fault.kind != FaultKind::kHang ||
         !AffectsUpstream(fault, upstream_index);
}

}  // namespace poplarfork::replay
