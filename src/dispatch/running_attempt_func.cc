#include "dispatch/running_attempt_func.h"

#include <algorithm>
#include <vector>

#include "base/time_func.h"
#include "dispatch/coverage_func.h"
#include "dispatch/daemon_outcome_func.h"
#include "dispatch/fault_estimate_func.h"
#include "dispatch/hedge_moment_func.h"
#include "dispatch/outlier_detection_func.h"
#include "dispatch/placement_func.h"
#include "dispatch/rate_limit_func.h"
#include "dispatch/shard_state_func.h"

namespace poplarfork::dispatch {

namespace {

// An attempt counts as stalled when it has taken this many mean durations of
// its class of work. About one successful response in fifty takes longer.
constexpr double kStallFactor = 3.2;
// A repeatable request is retried at another upstream after this many mean
// durations, earlier than it counts as stalled: running it twice costs little,
// and the response can still be on time.
constexpr double kRetryFactor = 2.4;
// Lower limit of the time after which an attempt is retried or counts as
// stalled.
constexpr base::Duration kMinStallTime = std::chrono::milliseconds(250);
// While the mean duration is not known, an attempt is retried and counts as
// stalled after this share of the time that is left until its response counts
// as late.
constexpr double kUnknownStallTimeShare = 0.9;
// Factor by which more time is allowed to upstreams that have just started.
constexpr double kColdFactor = 2.2;

// Time that the daemon's report of an attempt that still runs may take to
// arrive before the attempt counts as abandoned.
constexpr base::Duration kStillRunningMargin = std::chrono::milliseconds(100);

// An attempt that has not been reported this long after its deadline is
// removed, because its report must have been lost.
constexpr base::Duration kReportGraceTime = std::chrono::milliseconds(400);

// Probability that a repeatable request whose attempt has failed is not served
// by its next attempt either.
constexpr double kRepeatableUnservedWeight = 0.1;

base::Duration StallTime(const ShardState& shard_state,
                         const UpstreamState& upstream,
                         const SlotRequest& slot_request,
                         double factor,
                         base::TimePoint now) {
  const base::Duration unknown_stall_time =
      base::Scale(slot_request.until_late, kUnknownStallTimeShare);
  base::Duration stall_time = base::Scale(
      MeanDuration(shard_state, slot_request.work_class, unknown_stall_time),
      factor);
  if (shard_state.duration_stats.find(slot_request.work_class) ==
      shard_state.duration_stats.end())
    stall_time = unknown_stall_time;
  if (upstream.entry.cold_until > now)
    stall_time = base::Scale(stall_time, kColdFactor);
  return std::max(stall_time, kMinStallTime);
}

// Returns the age of an attempt from which on a hedge may be requested, or zero
// if none may.
base::Duration HedgeAfter(const Settings& settings,
                          const ShardState& shard_state,
                          const UpstreamState& upstream,
                          const SlotRequest& slot_request,
                          base::Duration waited,
                          base::Duration retry_after,
                          base::TimePoint now) {
  const WorkClass& work_class = slot_request.work_class;
  if (settings.hedge_share <= 0 || !work_class.repeatable ||
      slot_request.is_retry)
    return base::Duration(0);
  const auto stats = shard_state.duration_stats.find(work_class);
  if (stats == shard_state.duration_stats.end())
    return retry_after;
  return ComputeHedgeMoment(
      stats->second.histogram,
      {FaultProbability(upstream, now), settings.hedge_share,
       slot_request.until_deadline - waited, retry_after});
}

std::vector<OpenAttempt>::iterator FindOpenAttempt(UpstreamState& upstream,
                                                   base::TimePoint granted_at) {
  return std::find_if(upstream.open_attempts.begin(),
                      upstream.open_attempts.end(),
                      [granted_at](const OpenAttempt& open_attempt) {
                        return open_attempt.granted_at == granted_at;
                      });
}

}  // namespace

double UnservedWeight(bool must_succeed) {
  return must_succeed ? 1 : kRepeatableUnservedWeight;
}

const RunningAttempt& AddRunningAttempt(Dispatcher& dispatcher,
                                        ShardState& shard_state,
                                        const Placement& placement,
                                        const base::DaemonId& daemon,
                                        const SlotRequest& slot_request,
                                        const base::AccountId& charged_account,
                                        base::Duration waited,
                                        base::TimePoint now) {
  UpstreamState& upstream = *placement.upstream;
  RunningAttempt attempt;
  attempt.for_coverage = placement.for_coverage;
  attempt.daemon = daemon;
  attempt.attempt_id = slot_request.attempt_id;
  attempt.upstream = upstream.entry.id;
  attempt.incarnation = upstream.entry.incarnation;
  attempt.shard = RequestedShard(slot_request);
  attempt.work_class = slot_request.work_class;
  attempt.must_succeed = MustSucceed(slot_request) && !slot_request.is_hedge;
  attempt.fingerprints = slot_request.fingerprints;
  attempt.charged_account = charged_account;
  attempt.granted_at = now;
  attempt.retry_at =
      now + StallTime(shard_state, upstream, slot_request, kRetryFactor, now);
  attempt.hedge_after =
      HedgeAfter(dispatcher.settings, shard_state, upstream, slot_request,
                 waited, attempt.retry_at - now, now);
  attempt.stalls_at = std::max(
      now + StallTime(shard_state, upstream, slot_request, kStallFactor, now),
      attempt.retry_at + kStillRunningMargin);
  attempt.expires_at =
      now + slot_request.until_deadline - waited + kReportGraceTime;
  ++upstream.running_count;
  upstream.open_attempts.push_back(
      {now,
       MeanDuration(shard_state, slot_request.work_class, base::Duration(0))});
  MarkCovered(upstream, now);
  CountTowardsLimit(upstream, now);
  return dispatcher.running_attempts[{daemon, slot_request.attempt_id}] =
             attempt;
}

void CountLostAttempt(ShardState& shard_state,
                      const RunningAttempt& attempt,
                      Outcome outcome,
                      base::TimePoint now) {
  const bool lost =
      outcome == Outcome::kFailed || outcome == Outcome::kConnectionBroken ||
      outcome == Outcome::kInvalidResponse || outcome == Outcome::kStalled;
  if (lost && !attempt.stall_counted && !attempt.for_coverage)
    CountUnserved(shard_state.loss_stats, UnservedWeight(attempt.must_succeed),
                  now);
}

void ReleaseSlot(ShardState& shard_state, const RunningAttempt& attempt) {
  const auto found = shard_state.upstreams.find(attempt.upstream);
  if (found == shard_state.upstreams.end())
    return;
  UpstreamState& upstream = found->second;
  upstream.running_count -= upstream.running_count > 0 ? 1 : 0;
  const auto open_attempt = FindOpenAttempt(upstream, attempt.granted_at);
  if (open_attempt != upstream.open_attempts.end())
    upstream.open_attempts.erase(open_attempt);
  if (attempt.stall_counted)
    upstream.stalled_count -= upstream.stalled_count > 0 ? 1 : 0;
}

void CheckRunningAttempts(Dispatcher& dispatcher,
                          base::TimePoint now,
                          Actions& actions) {
  for (auto item = dispatcher.running_attempts.begin();
       item != dispatcher.running_attempts.end();) {
    RunningAttempt& attempt = item->second;
    const auto shard = dispatcher.shards.find(attempt.shard);
    if (shard == dispatcher.shards.end()) {
      item = dispatcher.running_attempts.erase(item);
      continue;
    }
    ShardState& shard_state = shard->second;
    // A daemon that waits for a response has reported that by now. One that has
    // not is gone, and its silence says nothing about the upstream.
    const bool is_abandoned = attempt.stalls_at <= now &&
                              !attempt.stall_counted &&
                              !attempt.is_still_running;
    if (is_abandoned && !attempt.for_coverage)
      CountUnserved(shard_state.loss_stats,
                    UnservedWeight(attempt.must_succeed), now);
    if (is_abandoned || attempt.expires_at <= now) {
      ReleaseSlot(shard_state, attempt);
      item = dispatcher.running_attempts.erase(item);
      continue;
    }
    const auto upstream = shard_state.upstreams.find(attempt.upstream);
    if (attempt.stalls_at <= now && !attempt.stall_counted &&
        upstream != shard_state.upstreams.end()) {
      attempt.stall_counted = true;
      const double weight = RecordDaemonOutcome(
          dispatcher, attempt.daemon, attempt.upstream, Outcome::kStalled, now);
      CountStall(upstream->second, attempt, weight, now, actions);
      const auto open_attempt =
          FindOpenAttempt(upstream->second, attempt.granted_at);
      if (open_attempt != upstream->second.open_attempts.end())
        open_attempt->expected_duration = base::Duration(0);
      if (!attempt.for_coverage)
        CountUnserved(shard_state.loss_stats,
                      UnservedWeight(attempt.must_succeed), now);
    }
    ++item;
  }
}

}  // namespace poplarfork::dispatch
