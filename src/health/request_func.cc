#include "health/request_func.h"

#include <algorithm>
#include <cmath>

#include "health/attribution_func.h"
#include "health/crash_func.h"
#include "health/rate_func.h"
#include "health/return_func.h"

namespace poplarfork::health {

namespace {

// A request in flight counts as unresponsive after this multiple of the typical
// latency, but not before the minimum time.
constexpr double kSilenceRatio = 8;
constexpr base::Duration kMinimumSilence = std::chrono::milliseconds(250);
// This timeout is used while the typical latency is unknown.
constexpr base::Duration kUnknownSilence = std::chrono::seconds(5);

bool IsTransportFailure(RequestOutcome outcome) {
  return outcome == RequestOutcome::kConnectFailed ||
         outcome == RequestOutcome::kConnectionLost ||
         outcome == RequestOutcome::kTimeout;
}

EvidenceKind KindOf(RequestOutcome outcome) {
  if (IsTransportFailure(outcome))
    return EvidenceKind::kTransportFailure;
  if (outcome == RequestOutcome::kSuccess)
    return EvidenceKind::kGood;
  return EvidenceKind::kAnswerFailure;
}

base::Duration SilenceTime(const ServiceHealth& health) {
  if (!health.reference.known)
    return kUnknownSilence;
  const double usual_us = std::exp(health.reference.upper);
  const base::Duration time(
      static_cast<std::int64_t>(kSilenceRatio * usual_us));
  return std::max<base::Duration>(time, kMinimumSilence);
}

bool IsBad(const ServiceHealth& health,
           std::uint32_t index,
           const Evidence& evidence) {
  return evidence.kind == EvidenceKind::kAnswerFailure ||
         evidence.kind == EvidenceKind::kTransportFailure ||
         IsSlow(health, index, evidence.latency);
}

std::uint32_t FaultsOf(const Evidence& evidence, bool bad) {
  if (!bad)
    return 0;
  return evidence.kind == EvidenceKind::kGood ? kSlowFaults : kFailureFaults;
}

// Records a bad request for the next report and for the checks of whether most
// upstreams are bad.
void NoteBad(ServiceHealth& health,
             std::uint32_t index,
             const Evidence& evidence,
             base::TimePoint now) {
  UpstreamState& upstream = health.upstreams[index];
  if (evidence.kind == EvidenceKind::kTransportFailure)
    upstream.last_silence = now;
  else if (evidence.kind != EvidenceKind::kRunning)
    upstream.last_bad_answer = now;
  const bool failure = evidence.kind == EvidenceKind::kAnswerFailure ||
                       evidence.kind == EvidenceKind::kTransportFailure;
  if (failure)
    ++upstream.unreported_failures;
  else if (evidence.counted == 0)
    ++upstream.unreported_slow;
}

// Adds one observation of upstream `index` to its statistics, evaluates the
// upstream and acts on the result.
void Observe(ServiceHealth& health,
             std::uint32_t index,
             const Evidence& evidence,
             base::TimePoint now,
             base::Rng& rng,
             Actions& actions) {
  SaveEvidence(health, index);
  const bool bad = IsBad(health, index, evidence);
  if (bad)
    NoteBad(health, index, evidence, now);
  health.detector.add(health, index, evidence, now);
  CountRequest(health, index, evidence, now);
  UpstreamState& upstream = health.upstreams[index];
  if (upstream.phase == Phase::kTrial) {
    CountTrial(health, index, FaultsOf(evidence, bad), now, rng, actions);
    return;
  }
  if (upstream.phase == Phase::kAvoided && upstream.kept_for_floor) {
    CountKept(health, index, !bad, now, actions);
    return;
  }
  const Verdict verdict = health.detector.judge(health, index, now);
  ActOnVerdict(health, index, verdict, now, rng, actions);
}

void AnnounceCrash(std::uint64_t fingerprint,
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
bool AttributeLoss(ServiceHealth& health,
                   std::uint32_t index,
                   const RequestFinished& event,
                   base::TimePoint started,
                   base::TimePoint now,
                   Actions& actions) {
  if (event.outcome == RequestOutcome::kConnectionLost) {
    const LossJudgement judgement =
        NoteLoss(health, event.fingerprint, event.upstream, now);
    if (judgement == LossJudgement::kCrashRequest) {
      AnnounceCrash(event.fingerprint, event.upstream, actions);
      return true;
    }
    if (judgement == LossJudgement::kFirstLoss)
      health.unreported_losses.push_back({event.fingerprint, event.upstream});
  }
  if (!event.reused_connection)
    return false;
  return AttributeToConnection(health, index, started, now, actions);
}

// Removes the request that ended from the requests in flight and returns its
// entry. If there is none, returns one with the start time computed from the
// latency.
InFlight TakeInFlight(ServiceHealth& health,
                      const RequestFinished& event,
                      base::TimePoint now) {
  InFlight in_flight;
  in_flight.started = now - event.latency;
  const auto found = health.in_flight.find(event.request);
  if (found == health.in_flight.end())
    return in_flight;
  in_flight = found->second;
  health.in_flight.erase(found);
  return in_flight;
}

bool SaysNothing(RequestOutcome outcome) {
  return outcome == RequestOutcome::kCancelled ||
         outcome == RequestOutcome::kShed;
}

Evidence EvidenceOf(const RequestFinished& event, const InFlight& in_flight) {
  Evidence evidence;
  evidence.kind = KindOf(event.outcome);
  evidence.counted = in_flight.counted_latency;
  if (evidence.kind != EvidenceKind::kTransportFailure)
    evidence.latency = event.latency;
  return evidence;
}

// Handles a request in flight that has been unresponsive for too long.
void ObserveSilence(ServiceHealth& health,
                    InFlight& in_flight,
                    base::TimePoint now,
                    base::Rng& rng,
                    Actions& actions) {
  if (in_flight.counted_silence || in_flight.connection_silent)
    return;
  const std::uint32_t index = in_flight.upstream;
  if (in_flight.reused_connection &&
      AttributeToConnection(health, index, in_flight.started, now, actions)) {
    in_flight.connection_silent = true;
    return;
  }
  in_flight.counted_silence = true;
  Evidence evidence;
  evidence.kind = EvidenceKind::kTransportFailure;
  Observe(health, index, evidence, now, rng, actions);
}

// Handles a slow request that is still in flight on a new connection. On a
// reused connection the connection may be at fault, so such a request counts
// only when it ends.
void ObserveSlowness(ServiceHealth& health,
                     InFlight& in_flight,
                     base::Duration elapsed,
                     base::TimePoint now,
                     base::Rng& rng,
                     Actions& actions) {
  const std::uint32_t index = in_flight.upstream;
  if (in_flight.reused_connection || in_flight.counted_latency > 0 ||
      !IsSlow(health, index, elapsed))
    return;
  SaveEvidence(health, index);
  Evidence evidence;
  evidence.kind = EvidenceKind::kRunning;
  evidence.latency = elapsed;
  NoteBad(health, index, evidence, now);
  in_flight.counted_latency = health.detector.add(health, index, evidence, now);
  const Verdict verdict = health.detector.judge(health, index, now);
  ActOnVerdict(health, index, verdict, now, rng, actions);
}

}  // namespace

void HandleStarted(ServiceHealth& health,
                   const RequestStarted& event,
                   base::TimePoint now) {
  const auto found = health.index.find(event.upstream);
  if (found == health.index.end())
    return;
  health.upstreams[found->second].last_request = now;
  InFlight in_flight;
  in_flight.upstream = found->second;
  in_flight.started = now;
  in_flight.reused_connection = event.reused_connection;
  health.in_flight[event.request] = in_flight;
}

void HandleFinished(ServiceHealth& health,
                    const RequestFinished& event,
                    base::TimePoint now,
                    base::Rng& rng,
                    Actions& actions) {
  const InFlight in_flight = TakeInFlight(health, event, now);
  const auto found = health.index.find(event.upstream);
  if (found == health.index.end() || SaysNothing(event.outcome))
    return;
  const std::uint32_t index = found->second;
  health.upstreams[index].last_request = now;
  if (event.outcome == RequestOutcome::kSuccess)
    NoteAnswered(health.crashes, event.fingerprint);
  const bool attributes = health.detector.attributes;
  if (attributes && (in_flight.stalled || now < health.ignore_until))
    return;
  const bool transport = IsTransportFailure(event.outcome);
  if (attributes && transport) {
    if (in_flight.counted_silence || in_flight.connection_silent)
      return;
    if (AttributeLoss(health, index, event, in_flight.started, now, actions))
      return;
  }
  const double before = health.upstreams[index].tests.outcome_score;
  Observe(health, index, EvidenceOf(event, in_flight), now, rng, actions);
  if (!transport)
    CountLatency(health, index, event.latency);
  const double added = health.upstreams[index].tests.outcome_score - before;
  if (event.outcome == RequestOutcome::kConnectionLost && added > 0)
    NoteLossEvidence(health.crashes, event.fingerprint, added);
}

void HandleProbe(ServiceHealth& health,
                 const ProbeFinished& event,
                 base::TimePoint now,
                 base::Rng& rng,
                 Actions& actions) {
  const auto found = health.index.find(event.upstream);
  if (found == health.index.end() || now < health.ignore_until)
    return;
  UpstreamState& upstream = health.upstreams[found->second];
  upstream.connection_suspect = false;
  if (event.passed)
    return;
  upstream.last_failed_probe = now;
  if (upstream.phase == Phase::kAvoided || upstream.draining)
    return;
  Evidence evidence;
  evidence.kind = EvidenceKind::kTransportFailure;
  Observe(health, found->second, evidence, now, rng, actions);
}

void TickInFlight(ServiceHealth& health,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions) {
  if (!health.detector.attributes)
    return;
  const base::Duration silence = SilenceTime(health);
  for (auto& [request, in_flight] : health.in_flight) {
    if (in_flight.stalled)
      continue;
    const base::Duration elapsed = now - in_flight.started;
    if (elapsed >= silence)
      ObserveSilence(health, in_flight, now, rng, actions);
    else
      ObserveSlowness(health, in_flight, elapsed, now, rng, actions);
  }
}

void ActOnVerdict(ServiceHealth& health,
                  std::uint32_t index,
                  const Verdict& verdict,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  if (verdict.reason == Reason::kNone)
    return;
  if (upstream.phase == Phase::kAvoided || upstream.ejection.active ||
      upstream.draining)
    return;
  if (health.detector.attributes && MostUpstreamsOverloaded(health, now)) {
    StartShedding(health, now, actions);
    return;
  }
  Avoid(health, index, verdict.reason, verdict.suspicion, now, rng, actions);
}

}  // namespace poplarfork::health
