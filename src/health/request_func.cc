#include "health/request_func.h"

#include <algorithm>
#include <cmath>

#include "health/attribution_func.h"
#include "health/crash_func.h"
#include "health/rate_func.h"
#include "health/recovery_func.h"

namespace poplarfork::health {

namespace {

// A request in flight counts as unresponsive after this multiple of the typical
// latency, but not before the minimum time.
constexpr double kNoResponseLatencyRatio = 8;
constexpr base::Duration kMinNoResponseTimeout = std::chrono::milliseconds(250);
// This timeout is used while the typical latency is unknown.
constexpr base::Duration kDefaultNoResponseTimeout = std::chrono::seconds(5);

bool IsTransportFailure(RequestOutcome outcome) {
  return outcome == RequestOutcome::kConnectFailed ||
         outcome == RequestOutcome::kConnectionLost ||
         outcome == RequestOutcome::kTimeout;
}

ObservationKind ToObservationKind(RequestOutcome outcome) {
  if (IsTransportFailure(outcome))
    return ObservationKind::kTransportFailure;
  if (outcome == RequestOutcome::kSuccess)
    return ObservationKind::kGood;
  return ObservationKind::kFailedResponse;
}

base::Duration NoResponseTimeout(const ServiceHealth& health) {
  if (!health.latency_reference.known)
    return kDefaultNoResponseTimeout;
  const double usual_us = std::exp(health.latency_reference.upper_median);
  const base::Duration timeout(
      static_cast<std::int64_t>(kNoResponseLatencyRatio * usual_us));
  return std::max<base::Duration>(timeout, kMinNoResponseTimeout);
}

bool IsBadObservation(const ServiceHealth& health,
                      std::uint32_t index,
                      const UpstreamObservation& observation) {
  return observation.kind == ObservationKind::kFailedResponse ||
         observation.kind == ObservationKind::kTransportFailure ||
         IsSlow(health, index, observation.latency);
}

std::uint32_t CountFaults(const UpstreamObservation& observation, bool bad) {
  if (!bad)
    return 0;
  return observation.kind == ObservationKind::kGood ? kFaultsPerSlowRequest
                                                    : kFaultsPerFailure;
}

// Records a bad request for the next report and for the checks of whether most
// upstreams are bad.
void RecordBadRequest(ServiceHealth& health,
                      std::uint32_t index,
                      const UpstreamObservation& observation,
                      base::TimePoint now) {
  UpstreamState& upstream = health.upstreams[index];
  if (observation.kind == ObservationKind::kTransportFailure)
    upstream.last_transport_failure = now;
  else if (observation.kind != ObservationKind::kRunning)
    upstream.last_bad_response = now;
  const bool failure = observation.kind == ObservationKind::kFailedResponse ||
                       observation.kind == ObservationKind::kTransportFailure;
  if (failure)
    ++upstream.unreported_failures;
  else if (observation.counted_latency_score == 0)
    ++upstream.unreported_slow;
}

// Adds one observation of upstream `index` to its statistics, evaluates the
// upstream and acts on the result.
void ProcessObservation(ServiceHealth& health,
                        std::uint32_t index,
                        const UpstreamObservation& observation,
                        base::TimePoint now,
                        base::Rng& rng,
                        Actions& actions) {
  SaveEvidence(health, index);
  const bool bad = IsBadObservation(health, index, observation);
  if (bad)
    RecordBadRequest(health, index, observation, now);
  health.detector.add_observation(health, index, observation, now);
  CountRequest(health, index, observation, now);
  UpstreamState& upstream = health.upstreams[index];
  if (upstream.phase == Phase::kTrial) {
    CountTrialRequest(health, index, CountFaults(observation, bad), now, rng,
                      actions);
    return;
  }
  if (upstream.phase == Phase::kAvoided && upstream.kept_for_floor) {
    CountKeptRequest(health, index, !bad, now, actions);
    return;
  }
  const DetectionResult result = health.detector.evaluate(health, index, now);
  AvoidIfSuspect(health, index, result, now, rng, actions);
}

void AnnounceCrashFingerprint(std::uint64_t fingerprint,
                              const base::UpstreamId& upstream,
                              Actions& actions) {
  Action action;
  action.kind = ActionKind::kAnnounceFingerprint;
  action.reason = Reason::kCrashRequest;
  action.fingerprint = fingerprint;
  action.upstream = upstream;
  actions.push_back(action);
}

// Returns true if a transport failure is attributed to the request or to the
// connection.
bool AttributeTransportFailure(ServiceHealth& health,
                               std::uint32_t index,
                               const RequestFinished& event,
                               base::TimePoint started,
                               base::TimePoint now,
                               Actions& actions) {
  if (event.outcome == RequestOutcome::kConnectionLost) {
    const LossAttribution attribution =
        RecordLoss(health, event.fingerprint, event.upstream, now);
    if (attribution == LossAttribution::kCrashRequest) {
      AnnounceCrashFingerprint(event.fingerprint, event.upstream, actions);
      return true;
    }
    if (attribution == LossAttribution::kFirstLoss)
      health.unreported_losses.push_back({event.fingerprint, event.upstream});
  }
  if (!event.reused_connection)
    return false;
  return AttributeToConnection(health, index, started, now, actions);
}

// Removes the request that ended from the requests in flight and returns its
// entry. If there is none, returns one with the start time computed from the
// latency.
InFlightRequest TakeInFlight(ServiceHealth& health,
                             const RequestFinished& event,
                             base::TimePoint now) {
  InFlightRequest in_flight;
  in_flight.started = now - event.latency;
  const auto found = health.in_flight.find(event.request_number);
  if (found == health.in_flight.end())
    return in_flight;
  in_flight = found->second;
  health.in_flight.erase(found);
  return in_flight;
}

bool IsInconclusive(RequestOutcome outcome) {
  return outcome == RequestOutcome::kCancelled ||
         outcome == RequestOutcome::kShed;
}

UpstreamObservation MakeObservation(const RequestFinished& event,
                                    const InFlightRequest& in_flight) {
  UpstreamObservation observation;
  observation.kind = ToObservationKind(event.outcome);
  observation.counted_latency_score = in_flight.counted_latency_score;
  if (observation.kind != ObservationKind::kTransportFailure)
    observation.latency = event.latency;
  return observation;
}

// Handles a request in flight that has been unresponsive for too long.
void ObserveNoResponse(ServiceHealth& health,
                       InFlightRequest& in_flight,
                       base::TimePoint now,
                       base::Rng& rng,
                       Actions& actions) {
  if (in_flight.counted_as_failure || in_flight.attributed_to_connection)
    return;
  const std::uint32_t index = in_flight.upstream_index;
  if (in_flight.reused_connection &&
      AttributeToConnection(health, index, in_flight.started, now, actions)) {
    in_flight.attributed_to_connection = true;
    return;
  }
  in_flight.counted_as_failure = true;
  UpstreamObservation observation;
  observation.kind = ObservationKind::kTransportFailure;
  ProcessObservation(health, index, observation, now, rng, actions);
}

// Handles a slow request that is still in flight on a new connection. On a
// reused connection the connection may be at fault, so such a request counts
// only when it ends.
void ObserveSlowRequest(ServiceHealth& health,
                        InFlightRequest& in_flight,
                        base::Duration elapsed,
                        base::TimePoint now,
                        base::Rng& rng,
                        Actions& actions) {
  const std::uint32_t index = in_flight.upstream_index;
  if (in_flight.reused_connection || in_flight.counted_latency_score > 0 ||
      !IsSlow(health, index, elapsed))
    return;
  SaveEvidence(health, index);
  UpstreamObservation observation;
  observation.kind = ObservationKind::kRunning;
  observation.latency = elapsed;
  RecordBadRequest(health, index, observation, now);
  in_flight.counted_latency_score =
      health.detector.add_observation(health, index, observation, now);
  const DetectionResult result = health.detector.evaluate(health, index, now);
  AvoidIfSuspect(health, index, result, now, rng, actions);
}

}  // namespace

void HandleRequestStarted(ServiceHealth& health,
                          const RequestStarted& event,
                          base::TimePoint now) {
  const auto found = health.index_by_id.find(event.upstream);
  if (found == health.index_by_id.end())
    return;
  health.upstreams[found->second].last_request = now;
  InFlightRequest in_flight;
  in_flight.upstream_index = found->second;
  in_flight.started = now;
  in_flight.reused_connection = event.reused_connection;
  health.in_flight[event.request_number] = in_flight;
}

void HandleRequestFinished(ServiceHealth& health,
                           const RequestFinished& event,
                           base::TimePoint now,
                           base::Rng& rng,
                           Actions& actions) {
  const InFlightRequest in_flight = TakeInFlight(health, event, now);
  const auto found = health.index_by_id.find(event.upstream);
  if (found == health.index_by_id.end() || IsInconclusive(event.outcome))
    return;
  const std::uint32_t index = found->second;
  health.upstreams[index].last_request = now;
  if (event.outcome == RequestOutcome::kSuccess)
    RecordAnswered(health.crash_table, event.fingerprint);
  const bool attributes = health.detector.uses_attribution;
  if (attributes && (in_flight.overlapped_stall || now < health.ignore_until))
    return;
  const bool transport_failure = IsTransportFailure(event.outcome);
  if (attributes && transport_failure) {
    if (in_flight.counted_as_failure || in_flight.attributed_to_connection)
      return;
    if (AttributeTransportFailure(health, index, event, in_flight.started, now,
                                  actions))
      return;
  }
  const double score_before =
      health.upstreams[index].detector_state.outcome_score;
  ProcessObservation(health, index, MakeObservation(event, in_flight), now, rng,
                     actions);
  if (!transport_failure)
    AddLatencySample(health, index, event.latency);
  const double added_score =
      health.upstreams[index].detector_state.outcome_score - score_before;
  if (event.outcome == RequestOutcome::kConnectionLost && added_score > 0)
    RecordLossEvidence(health.crash_table, event.fingerprint, added_score);
}

void HandleProbeFinished(ServiceHealth& health,
                         const ProbeFinished& event,
                         base::TimePoint now,
                         base::Rng& rng,
                         Actions& actions) {
  const auto found = health.index_by_id.find(event.upstream);
  if (found == health.index_by_id.end() || now < health.ignore_until)
    return;
  UpstreamState& upstream = health.upstreams[found->second];
  upstream.connection_suspect = false;
  if (event.passed)
    return;
  upstream.last_failed_probe = now;
  if (upstream.phase == Phase::kAvoided || upstream.draining)
    return;
  UpstreamObservation observation;
  observation.kind = ObservationKind::kTransportFailure;
  ProcessObservation(health, found->second, observation, now, rng, actions);
}

void ObserveRequestsInFlight(ServiceHealth& health,
                             base::TimePoint now,
                             base::Rng& rng,
                             Actions& actions) {
  if (!health.detector.uses_attribution)
    return;
  const base::Duration timeout = NoResponseTimeout(health);
  for (auto& [request, in_flight] : health.in_flight) {
    if (in_flight.overlapped_stall)
      continue;
    const base::Duration elapsed = now - in_flight.started;
    if (elapsed >= timeout)
      ObserveNoResponse(health, in_flight, now, rng, actions);
    else
      ObserveSlowRequest(health, in_flight, elapsed, now, rng, actions);
  }
}

void AvoidIfSuspect(ServiceHealth& health,
                    std::uint32_t index,
                    const DetectionResult& result,
                    base::TimePoint now,
                    base::Rng& rng,
                    Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  if (result.reason == Reason::kNone)
    return;
  if (upstream.phase == Phase::kAvoided || upstream.ejection.active ||
      upstream.draining)
    return;
  if (health.detector.uses_attribution &&
      MostUpstreamsOverloaded(health, now)) {
    StartShedding(health, now, actions);
    return;
  }
  AvoidUpstream(health, index, result.reason, result.suspicion, now, rng,
                actions);
}

}  // namespace poplarfork::health
