#include "dispatch/evidence_func.h"

#include <algorithm>
#include <cmath>

namespace poplarfork::dispatch {

namespace {

// Gray failures, in which an upstream fails only a part of its requests, last
// seconds. Outcomes older than two half-lives say little about its present
// state.
constexpr base::Duration kEvidenceHalfLife = std::chrono::milliseconds(3000);

// Healthy upstreams fail about one request in a hundred. The prior counts as
// this many attempts, so that a single failure suspends no upstream.
constexpr double kPriorServed = 4;
constexpr double kPriorFailed = 0.05;

// An upstream whose failure share is above this is suspended. A quarter of all
// requests is far above what healthy upstreams fail.
constexpr double kSuspendShare = 0.26;

// Number of attempts that are stalled at the same time at which an upstream is
// suspended.
constexpr std::uint32_t kSuspendStalled = 2;

// An upstream whose durations are this many times the mean is suspended,
// because its responses would be late even if it had no other requests.
constexpr double kSuspendSlowness = 3.5;

// The first suspension lasts this long; each following one lasts twice as long
// as the one before, up to the maximum.
constexpr base::Duration kFirstSuspension = std::chrono::milliseconds(1000);
// The maximum is short because healthy upstreams that were suspended by mistake
// must not stay idle for longer.
constexpr base::Duration kLongestSuspension = std::chrono::milliseconds(4000);

// Number of consecutive trial requests that must succeed before an upstream is
// reinstated. An upstream that fails half of its requests passes two with a
// probability of one in four, and three with one in eight.
constexpr std::uint32_t kTrialSuccesses = 3;

// After this many consecutive failed probes the trial begins nevertheless,
// because a health endpoint that reports false results may be the upstream's
// only fault.
constexpr std::uint32_t kIgnoredProbes = 2;

// Weight of the newest duration in an upstream's slowness.
constexpr double kSlownessGain = 0.25;

// Weight of the newest duration in the mean duration of a class of work. The
// first samples count more.
constexpr double kPaceGain = 0.02;
constexpr std::uint32_t kPaceWarmUp = 20;

// A daemon whose connection to an upstream failed is not granted that upstream
// for this long.
constexpr base::Duration kPathTroubleTime = std::chrono::milliseconds(3000);

// An upstream is suspended when this many daemons fail to connect to it at the
// same time while no daemon receives a response from it.
constexpr std::size_t kUnreachableDaemons = 2;

// A refused connection is the fault of the upstream's host, unless another
// daemon has received a response within this time.
constexpr base::Duration kAnswersRecently = std::chrono::milliseconds(300);

// Responses and failures that a daemon has seen are forgotten after this time.
constexpr base::Duration kDaemonMemory = std::chrono::milliseconds(4000);

// When a daemon sees failures at this many upstreams at the same time, and at
// more upstreams than have responded, the fault is assumed to be in the daemon
// or its network, and its reports get the reduced weight.
constexpr std::size_t kTroubledUpstreams = 3;
constexpr double kTroubledDaemonWeight = 0.1;

// The load that an upstream reports in one response counts as at most this many
// requests of other dispatchers. The upstream's own queue is not filled by this
// dispatcher.
constexpr std::uint32_t kMaxForeign = 64;

void Decay(UpstreamState& upstream, base::TimePoint now) {
  const double age = static_cast<double>((now - upstream.evidence_at).count());
  const double factor =
      std::exp2(-age / static_cast<double>(kEvidenceHalfLife.count()));
  upstream.served *= factor;
  upstream.failed *= factor;
  upstream.shed *= factor;
  upstream.evidence_at = now;
}

double DecayFactor(const UpstreamState& upstream, base::TimePoint now) {
  const double age = static_cast<double>((now - upstream.evidence_at).count());
  return std::exp2(-age / static_cast<double>(kEvidenceHalfLife.count()));
}

void Log(const UpstreamState& upstream,
         const char* standing,
         const char* reason,
         base::TimePoint now,
         Actions& actions) {
  actions.push_back(StandingChanged{
      upstream.entry.service, upstream.entry.id, standing, reason,
      FailureShare(upstream, now), upstream.slowness, upstream.stalled});
}

void Suspend(UpstreamState& upstream,
             const char* reason,
             base::TimePoint now,
             Actions& actions) {
  if (upstream.standing == Standing::kSuspended)
    return;
  if (upstream.standing == Standing::kTrusted)
    upstream.next_suspension = kFirstSuspension;
  upstream.standing = Standing::kSuspended;
  upstream.suspended_until = now + upstream.next_suspension;
  upstream.next_suspension =
      std::min(2 * upstream.next_suspension, kLongestSuspension);
  upstream.trial_successes = 0;
  Log(upstream, "suspended", reason, now, actions);
}

void Reinstate(UpstreamState& upstream, base::TimePoint now, Actions& actions) {
  upstream.standing = Standing::kTrusted;
  upstream.reinstated_at = now;
  upstream.served = 0;
  upstream.failed = 0;
  upstream.shed = 0;
  upstream.slowness = std::min(upstream.slowness, 1.5);
  Log(upstream, "trusted", "trial requests succeeded", now, actions);
}

void Judge(UpstreamState& upstream, base::TimePoint now, Actions& actions) {
  if (upstream.standing != Standing::kTrusted)
    return;
  if (FailureShare(upstream, now) > kSuspendShare)
    Suspend(upstream, "requests fail", now, actions);
  else if (upstream.slowness > kSuspendSlowness)
    Suspend(upstream, "responses are slow", now, actions);
}

void CountPace(ServiceState& service,
               UpstreamState& upstream,
               const Running& running,
               base::Duration duration) {
  WorkPace& pace = service.paces[running.work];
  const double value = static_cast<double>(duration.count());
  const double ratio = pace.mean_us > 0 ? value / pace.mean_us : 1;
  upstream.slowness +=
      kSlownessGain * (std::min(ratio, 8.0) - upstream.slowness);
  ++pace.samples;
  const double gain =
      std::max(kPaceGain, 1.0 / (1 + std::min(pace.samples, kPaceWarmUp * 10)));
  // Durations far above the mean come from slow upstreams. They are limited
  // before they are counted, so that the mean remains that of healthy
  // upstreams.
  const double counted =
      pace.samples > kPaceWarmUp ? std::min(value, 3 * pace.mean_us) : value;
  pace.mean_us += gain * (counted - pace.mean_us);
}

void CountFailure(UpstreamState& upstream,
                  double weight,
                  const char* reason,
                  base::TimePoint now,
                  Actions& actions) {
  upstream.failed += weight;
  // A failure with a reduced weight is probably the daemon's own fault and says
  // nothing about the upstream.
  if (upstream.standing == Standing::kTrial && weight >= 1)
    Suspend(upstream, reason, now, actions);
}

void CountSuccess(UpstreamState& upstream,
                  base::TimePoint now,
                  Actions& actions) {
  upstream.served += 1;
  if (upstream.standing != Standing::kTrial)
    return;
  if (upstream.slowness > kSuspendSlowness) {
    Suspend(upstream, "responses are still slow", now, actions);
    return;
  }
  if (++upstream.trial_successes >= kTrialSuccesses)
    Reinstate(upstream, now, actions);
}

void NotePathTrouble(UpstreamState& upstream,
                     const base::DaemonId& daemon,
                     base::TimePoint now) {
  std::erase_if(upstream.troubled_paths,
                [now](const auto& item) { return item.second.until <= now; });
  UpstreamState::PathTrouble& trouble = upstream.troubled_paths[daemon];
  if (trouble.since == base::TimePoint{})
    trouble.since = now;
  trouble.until = now + kPathTroubleTime;
}

// Returns the number of daemons whose connections to the upstream have failed
// since any daemon last received a response from it.
std::size_t TroubledSinceAnswer(const UpstreamState& upstream,
                                base::TimePoint now) {
  return static_cast<std::size_t>(std::count_if(
      upstream.troubled_paths.begin(), upstream.troubled_paths.end(),
      [&upstream, now](const auto& item) {
        return item.second.until > now &&
               item.second.since > upstream.last_answer;
      }));
}

void CountUnreachable(UpstreamState& upstream,
                      const Running& running,
                      bool refused,
                      double weight,
                      base::TimePoint now,
                      Actions& actions) {
  NotePathTrouble(upstream, running.daemon, now);
  const bool silent = now - upstream.last_answer > kAnswersRecently;
  if (refused && silent) {
    Suspend(upstream, "connections are refused", now, actions);
    return;
  }
  if (weight < 1 || upstream.last_answer > running.granted_at)
    return;
  if (TroubledSinceAnswer(upstream, now) >= kUnreachableDaemons ||
      upstream.standing == Standing::kTrial)
    Suspend(upstream, "not reachable", now, actions);
}

void CountLoad(UpstreamState& upstream,
               const Report& report,
               base::TimePoint now) {
  if (!report.has_load)
    return;
  const std::uint32_t stated = report.load.running + report.load.waiting;
  const std::uint32_t own = upstream.running + 1;
  upstream.foreign = stated > own ? std::min(stated - own, kMaxForeign) : 0;
  upstream.load_stated_at = now;
}

// Tells whether the outcome shows that both the request and the response were
// transferred.
bool IsAnswer(Outcome outcome) {
  return outcome == Outcome::kServed || outcome == Outcome::kFailed ||
         outcome == Outcome::kShed || outcome == Outcome::kMisdirected;
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

void CountOutcome(ServiceState& service,
                  UpstreamState& upstream,
                  const Running& running,
                  const Report& report,
                  double weight,
                  base::TimePoint now,
                  Actions& actions) {
  Decay(upstream, now);
  CountLoad(upstream, report, now);
  if (IsAnswer(report.outcome)) {
    upstream.last_answer = now;
    upstream.granted_since_answer = 0;
  }
  switch (report.outcome) {
    case Outcome::kServed:
      CountPace(service, upstream, running, report.duration);
      CountSuccess(upstream, now, actions);
      break;
    case Outcome::kFailed:
      CountFailure(upstream, 1, "a trial request failed", now, actions);
      break;
    case Outcome::kBroken:
    case Outcome::kBadAnswer:
      CountFailure(upstream, 1.3 * weight,
                   "a trial request got no valid response", now, actions);
      break;
    case Outcome::kStalled:
      if (!running.stall_counted) {
        NotePathTrouble(upstream, running.daemon, now);
        CountFailure(upstream, 1.3 * weight, "a trial request stalled", now,
                     actions);
      }
      break;
    case Outcome::kShed:
      upstream.shed += 1;
      if (upstream.standing == Standing::kTrial)
        Suspend(upstream, "a trial request was shed", now, actions);
      break;
    case Outcome::kMisdirected:
      // The address now belongs to another instance. The entry of this upstream
      // is about to be removed.
      Suspend(upstream, "another instance has the address", now, actions);
      break;
    case Outcome::kUnreachable:
    case Outcome::kRefused:
      CountUnreachable(upstream, running, report.outcome == Outcome::kRefused,
                       weight, now, actions);
      break;
    case Outcome::kUnused:
    case Outcome::kCancelled:
      break;
  }
  Judge(upstream, now, actions);
}

void CountStall(UpstreamState& upstream,
                const Running& running,
                double weight,
                base::TimePoint now,
                Actions& actions) {
  Decay(upstream, now);
  ++upstream.stalled;
  NotePathTrouble(upstream, running.daemon, now);
  CountFailure(upstream, weight, "a trial request stalls", now, actions);
  const bool silent = upstream.last_answer < running.granted_at;
  if (upstream.standing == Standing::kTrusted && silent && weight >= 1 &&
      upstream.stalled >= kSuspendStalled)
    Suspend(upstream, "requests stall", now, actions);
  Judge(upstream, now, actions);
}

double NoteDaemon(Dispatcher& dispatcher,
                  const base::DaemonId& daemon,
                  const base::UpstreamId& upstream,
                  Outcome outcome,
                  base::TimePoint now) {
  DaemonState& state = dispatcher.daemons[daemon];
  const auto is_old = [now](const auto& item) {
    return now - item.second > kDaemonMemory;
  };
  std::erase_if(state.answered, is_old);
  std::erase_if(state.troubled, is_old);
  if (IsAnswer(outcome)) {
    state.answered[upstream] = now;
    state.troubled.erase(upstream);
    return 1;
  }
  if (outcome == Outcome::kUnused || outcome == Outcome::kCancelled)
    return 1;
  state.troubled[upstream] = now;
  const bool own_trouble = state.troubled.size() >= kTroubledUpstreams &&
                           state.troubled.size() > state.answered.size();
  return own_trouble ? kTroubledDaemonWeight : 1;
}

void CountProbe(UpstreamState& upstream,
                bool healthy,
                base::TimePoint now,
                Actions& actions) {
  upstream.probing = false;
  if (upstream.standing != Standing::kSuspended)
    return;
  if (!healthy && ++upstream.failed_probes < kIgnoredProbes) {
    upstream.suspended_until = now + upstream.next_suspension;
    return;
  }
  upstream.failed_probes = 0;
  upstream.standing = Standing::kTrial;
  upstream.trial_since = now;
  upstream.trial_successes = 0;
  // The earlier outcomes caused the suspension. Only outcomes of the trial
  // decide whether it ends.
  upstream.served = 0;
  upstream.granted_since_answer = 0;
  upstream.failed = 0;
  upstream.slowness = std::min(upstream.slowness, 2.0);
  Log(upstream, "trial", healthy ? "probe succeeded" : "failed probe ignored",
      now, actions);
}

void ReviewSuspension(UpstreamState& upstream,
                      base::TimePoint now,
                      Actions& actions) {
  if (upstream.standing != Standing::kSuspended || upstream.probing ||
      upstream.suspended_until > now)
    return;
  upstream.probing = true;
  actions.push_back(StartProbe{upstream.entry.service, upstream.entry.id,
                               upstream.entry.address});
}

}  // namespace poplarfork::dispatch
