#include "dispatch/outlier_detection_func.h"

#include <algorithm>
#include <cmath>

#include "dispatch/daemon_outcome_func.h"
#include "dispatch/duration_stats_func.h"
#include "dispatch/fault_estimate_func.h"
#include "dispatch/hedge_func.h"
#include "dispatch/path_failure_func.h"
#include "dispatch/rate_limit_func.h"

namespace poplarfork::dispatch {

namespace {

// Gray failures, in which an upstream fails only a part of its requests, last
// seconds. Outcomes older than two half-lives say little about its present
// state.
constexpr base::Duration kOutcomeHalfLife = std::chrono::milliseconds(3000);

// Healthy upstreams fail about one request in a hundred. The prior counts as
// this many attempts, so that a single failure suspends no upstream.
constexpr double kPriorServed = 4;
constexpr double kPriorFailed = 0.05;

// An upstream whose failure share is above this is suspended. A quarter of all
// requests is far above what healthy upstreams fail.
constexpr double kSuspendFailureShare = 0.26;

// Number of attempts that are stalled at the same time at which an upstream is
// suspended.
constexpr std::uint32_t kSuspendStalledAttempts = 2;

// An upstream whose durations are this many times the mean is suspended,
// because its responses would be late even if it had no other requests.
constexpr double kSuspendSlowness = 3.5;

// The first suspension lasts this long; each following one lasts twice as long
// as the one before, up to the maximum.
constexpr base::Duration kFirstSuspension = std::chrono::milliseconds(1000);
// Coverage keeps upstreams that were suspended by mistake from being idle for
// so long while their capacity is needed.
constexpr base::Duration kMaxSuspension = std::chrono::milliseconds(8000);

// Number of consecutive trial requests that must succeed before an upstream is
// reinstated. An upstream that fails half of its requests passes two with a
// probability of one in four, and three with one in eight.
constexpr std::uint32_t kRequiredTrialSuccesses = 3;

// After this many consecutive failed probes the trial begins nevertheless,
// because a health endpoint that reports false results may be the upstream's
// only fault.
constexpr std::uint32_t kMaxFailedProbes = 2;

// Weight of the newest duration in an upstream's slowness.
constexpr double kSlownessGain = 0.25;

// Weight of a short response as evidence of health, see duration_stats_func.h.
// An upstream that hangs its work may send as many of them as a healthy one.
constexpr double kShortResponseWeight = 0.1;

// An upstream is suspended when this many daemons fail to connect to it at the
// same time while no daemon receives a response from it.
constexpr std::size_t kMinUnreachableDaemons = 2;

// A refused connection comes from the upstream's host and suspends the
// upstream, unless a daemon has received a response from it within this time.
constexpr base::Duration kRecentResponseTime = std::chrono::milliseconds(300);

// The load that an upstream reports in one response counts as at most this many
// requests of other dispatchers. The reported load includes the upstream's own
// queue, which this dispatcher does not fill.
constexpr std::uint32_t kMaxForeignRequests = 64;

void DecayOutcomes(UpstreamState& upstream, base::TimePoint now) {
  const double age = static_cast<double>((now - upstream.decayed_at).count());
  const double factor =
      std::exp2(-age / static_cast<double>(kOutcomeHalfLife.count()));
  upstream.served *= factor;
  upstream.failed *= factor;
  upstream.shed *= factor;
  upstream.decayed_at = now;
}

double DecayFactor(const UpstreamState& upstream, base::TimePoint now) {
  const double age = static_cast<double>((now - upstream.decayed_at).count());
  return std::exp2(-age / static_cast<double>(kOutcomeHalfLife.count()));
}

void AppendHealthStatusChange(const UpstreamState& upstream,
                              const char* health_status,
                              const char* reason,
                              base::TimePoint now,
                              Actions& actions) {
  actions.push_back(HealthStatusChanged{
      upstream.entry.service, upstream.entry.id, health_status, reason,
      FailureShare(upstream, now), upstream.slowness, upstream.stalled_count});
}

void Suspend(UpstreamState& upstream,
             const char* reason,
             base::TimePoint now,
             Actions& actions) {
  if (upstream.health_status == HealthStatus::kSuspended)
    return;
  if (upstream.health_status == HealthStatus::kHealthy)
    upstream.next_suspension = kFirstSuspension;
  upstream.health_status = HealthStatus::kSuspended;
  upstream.suspended_at = now;
  upstream.suspended_until = now + upstream.next_suspension;
  upstream.next_suspension =
      std::min(2 * upstream.next_suspension, kMaxSuspension);
  upstream.trial_successes = 0;
  AppendHealthStatusChange(upstream, "suspended", reason, now, actions);
}

void Reinstate(UpstreamState& upstream, base::TimePoint now, Actions& actions) {
  upstream.health_status = HealthStatus::kHealthy;
  upstream.served = 0;
  upstream.failed = 0;
  upstream.shed = 0;
  upstream.slowness = std::min(upstream.slowness, 1.5);
  AppendHealthStatusChange(upstream, "trusted", "trial requests succeeded", now,
                           actions);
}

void SuspendIfUnhealthy(UpstreamState& upstream,
                        base::TimePoint now,
                        Actions& actions) {
  if (upstream.health_status != HealthStatus::kHealthy)
    return;
  if (FailureShare(upstream, now) > kSuspendFailureShare)
    Suspend(upstream, "requests fail", now, actions);
  else if (upstream.slowness > kSuspendSlowness)
    Suspend(upstream, "responses are slow", now, actions);
}

void UpdateSlowness(UpstreamState& upstream,
                    const DurationStats& stats,
                    base::Duration duration) {
  const double ratio =
      stats.mean_us > 0 ? static_cast<double>(duration.count()) / stats.mean_us
                        : 1;
  upstream.slowness +=
      kSlownessGain * (std::min(ratio, 8.0) - upstream.slowness);
}

void CountFailure(UpstreamState& upstream,
                  double weight,
                  const char* reason,
                  base::TimePoint now,
                  Actions& actions) {
  upstream.failed += weight;
  // A failure with a reduced weight is probably the daemon's own fault and says
  // nothing about the upstream.
  if (upstream.health_status == HealthStatus::kTrial && weight >= 1)
    Suspend(upstream, reason, now, actions);
}

void BeginTrial(UpstreamState& upstream,
                const char* reason,
                base::TimePoint now,
                Actions& actions) {
  upstream.failed_probes = 0;
  upstream.health_status = HealthStatus::kTrial;
  upstream.trial_started_at = now;
  upstream.trial_successes = 0;
  // The earlier outcomes caused the suspension. Only outcomes of the trial
  // decide whether it ends.
  upstream.served = 0;
  upstream.failed = 0;
  upstream.slowness = std::min(upstream.slowness, 2.0);
  AppendHealthStatusChange(upstream, "trial", reason, now, actions);
}

void CountSuccess(UpstreamState& upstream,
                  const RunningAttempt& attempt,
                  base::TimePoint now,
                  Actions& actions) {
  // A request that was sent after the suspension for coverage says more than
  // the probe for which the suspension waits.
  if (upstream.health_status == HealthStatus::kSuspended &&
      attempt.granted_at > upstream.suspended_at)
    BeginTrial(upstream, "a coverage request succeeded", now, actions);
  upstream.served += 1;
  if (upstream.health_status != HealthStatus::kTrial)
    return;
  if (upstream.slowness > kSuspendSlowness) {
    Suspend(upstream, "responses are still slow", now, actions);
    return;
  }
  if (++upstream.trial_successes >= kRequiredTrialSuccesses)
    Reinstate(upstream, now, actions);
}

void CountServed(ShardState& shard_state,
                 UpstreamState& upstream,
                 const RunningAttempt& attempt,
                 base::Duration duration,
                 base::TimePoint now,
                 Actions& actions) {
  DurationStats& stats = shard_state.duration_stats[attempt.work_class];
  const bool is_short = IsShortResponse(stats, duration);
  if (!is_short)
    UpdateSlowness(upstream, stats, duration);
  AddResponseDuration(stats, duration, is_short);
  Observe(upstream.fault_estimate, Evidence::kServed,
          is_short ? kShortResponseWeight : 1, attempt.granted_at);
  if (is_short) {
    upstream.served += kShortResponseWeight;
    return;
  }
  upstream.last_work_response_at = now;
  CountSuccess(upstream, attempt, now, actions);
}

void CountUnreachable(UpstreamState& upstream,
                      const RunningAttempt& attempt,
                      bool refused,
                      double weight,
                      base::TimePoint now,
                      Actions& actions) {
  RecordPathFailure(upstream, attempt.daemon, now);
  if (refused && SuspendRefusing(upstream, now, actions))
    return;
  if (weight < 1 || upstream.last_response_at > attempt.granted_at)
    return;
  if (CountPathFailuresSinceResponse(upstream, now) >= kMinUnreachableDaemons ||
      upstream.health_status == HealthStatus::kTrial)
    Suspend(upstream, "not reachable", now, actions);
}

void UpdateForeignRequests(UpstreamState& upstream,
                           const AttemptReport& report,
                           base::TimePoint now) {
  if (!report.has_reported_load)
    return;
  const std::uint32_t reported =
      report.reported_load.running + report.reported_load.waiting;
  const std::uint32_t own = upstream.running_count + 1;
  upstream.foreign_requests =
      reported > own ? std::min(reported - own, kMaxForeignRequests) : 0;
  upstream.load_reported_at = now;
}

}  // namespace

double FailureShare(const UpstreamState& upstream, base::TimePoint now) {
  const double factor = DecayFactor(upstream, now);
  const double served = factor * upstream.served + kPriorServed;
  const double failed = factor * upstream.failed + kPriorFailed;
  return failed / (served + failed);
}

double ShedShare(const UpstreamState& upstream, base::TimePoint now) {
  const double factor = DecayFactor(upstream, now);
  const double shed = factor * upstream.shed;
  return shed /
         (factor * (upstream.served + upstream.failed) + shed + kPriorServed);
}

void CountOutcome(ShardState& shard_state,
                  UpstreamState& upstream,
                  const RunningAttempt& attempt,
                  const AttemptReport& report,
                  double weight,
                  base::TimePoint now,
                  Actions& actions) {
  DecayOutcomes(upstream, now);
  UpdateForeignRequests(upstream, report, now);
  if (IsResponse(report.outcome))
    upstream.last_response_at = now;
  if (IsResponse(report.outcome) && report.outcome != Outcome::kServed)
    upstream.last_work_response_at = now;
  switch (report.outcome) {
    case Outcome::kServed:
      CountServed(shard_state, upstream, attempt, report.duration, now,
                  actions);
      break;
    case Outcome::kFailed:
      Observe(upstream.fault_estimate, Evidence::kLost, 1, attempt.granted_at);
      CountFailure(upstream, 1, "a trial request failed", now, actions);
      break;
    case Outcome::kConnectionBroken:
    case Outcome::kInvalidResponse:
      Observe(upstream.fault_estimate, Evidence::kLost, weight,
              attempt.granted_at);
      CountFailure(upstream, 1.3 * weight,
                   "a trial request got no valid response", now, actions);
      break;
    case Outcome::kStalled:
      if (!attempt.stall_counted) {
        RecordPathFailure(upstream, attempt.daemon, now);
        Observe(upstream.fault_estimate, Evidence::kLost, weight,
                attempt.granted_at);
        CountFailure(upstream, 1.3 * weight, "a trial request stalled", now,
                     actions);
      }
      break;
    case Outcome::kShed:
      upstream.shed += 1;
      if (upstream.health_status == HealthStatus::kTrial)
        Suspend(upstream, "a trial request was shed", now, actions);
      break;
    case Outcome::kMisdirected:
      // The address now belongs to another instance. The entry of this upstream
      // is about to be removed.
      Suspend(upstream, "another instance has the address", now, actions);
      break;
    case Outcome::kUnreachable:
    case Outcome::kConnectionRefused:
      CountUnreachable(upstream, attempt,
                       report.outcome == Outcome::kConnectionRefused, weight,
                       now, actions);
      break;
    case Outcome::kCancelled:
      CountCancelled(shard_state, upstream, attempt, report.duration);
      break;
    case Outcome::kUnused:
    case Outcome::kStillRunning:
      break;
  }
  SuspendIfUnhealthy(upstream, now, actions);
}

void CountStall(UpstreamState& upstream,
                const RunningAttempt& attempt,
                double weight,
                base::TimePoint now,
                Actions& actions) {
  DecayOutcomes(upstream, now);
  ++upstream.stalled_count;
  RecordPathFailure(upstream, attempt.daemon, now);
  Observe(upstream.fault_estimate, Evidence::kLost, weight, attempt.granted_at);
  CountFailure(upstream, weight, "a trial request stalls", now, actions);
  const bool silent = upstream.last_work_response_at < attempt.granted_at;
  if (upstream.health_status == HealthStatus::kHealthy && silent &&
      weight >= 1 && upstream.stalled_count >= kSuspendStalledAttempts)
    Suspend(upstream, "requests stall", now, actions);
  SuspendIfUnhealthy(upstream, now, actions);
}

bool SuspendRefusing(UpstreamState& upstream,
                     base::TimePoint now,
                     Actions& actions) {
  if (now - upstream.last_response_at <= kRecentResponseTime)
    return false;
  Suspend(upstream, "connections are refused", now, actions);
  return true;
}

void HandleProbeResult(UpstreamState& upstream,
                       bool healthy,
                       base::TimePoint now,
                       Actions& actions) {
  upstream.probing = false;
  if (upstream.health_status != HealthStatus::kSuspended)
    return;
  if (!healthy && ++upstream.failed_probes < kMaxFailedProbes) {
    upstream.suspended_until = now + upstream.next_suspension;
    return;
  }
  BeginTrial(upstream, healthy ? "probe succeeded" : "failed probe ignored",
             now, actions);
}

void StartDueProbe(UpstreamState& upstream,
                   base::TimePoint now,
                   Actions& actions) {
  if (upstream.health_status != HealthStatus::kSuspended || upstream.probing ||
      upstream.suspended_until > now || !IsWithinLimit(upstream, now))
    return;
  upstream.probing = true;
  CountTowardsLimit(upstream, now);
  actions.push_back(StartProbe{upstream.entry.service, upstream.entry.id,
                               upstream.entry.address,
                               ProbePurpose::kRecovery});
}

}  // namespace poplarfork::dispatch
