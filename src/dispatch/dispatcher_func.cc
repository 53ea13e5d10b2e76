#include "dispatch/dispatcher_func.h"

#include <algorithm>
#include <utility>

#include "base/rng_func.h"
#include "dispatch/admission_func.h"
#include "dispatch/coverage_func.h"
#include "dispatch/crash_func.h"
#include "dispatch/handover_func.h"
#include "dispatch/outlier_detection_func.h"
#include "dispatch/placement_func.h"
#include "dispatch/shard_state_func.h"
#include "fleet/shard_func.h"

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

// A dispatcher that has received no slot request for a shard for this long is
// no longer the shard's dispatcher and leaves the health probes to the one that
// is.
constexpr base::Duration kDispatcherIdleTimeout = std::chrono::seconds(3);

// A queued request is refused when even a run of this share of the mean
// duration would end after the request's deadline.
constexpr double kShortDurationShare = 0.7;

// Retry-After while the service has no upstream or none is known yet. Upstreams
// that are starting write their entries within about this time.
constexpr base::Duration kNoUpstreamRetryAfter = std::chrono::milliseconds(500);

// Retry-After of requests that are refused permanently.
constexpr base::Duration kPermanentRefusalRetryAfter = std::chrono::seconds(30);

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

bool IsActive(const ShardState& shard_state, base::TimePoint now) {
  return !shard_state.queue.empty() ||
         now - shard_state.last_slot_request_at < kDispatcherIdleTimeout;
}

base::Duration StallTime(const ShardState& shard_state,
                         const UpstreamState& upstream,
                         const SlotRequest& slot_request,
                         double factor,
                         base::TimePoint now) {
  const base::Duration unknown_stall_time =
      Scale(slot_request.until_late, kUnknownStallTimeShare);
  base::Duration stall_time = Scale(
      MeanDuration(shard_state, slot_request.work_class, unknown_stall_time),
      factor);
  if (shard_state.duration_stats.find(slot_request.work_class) ==
      shard_state.duration_stats.end())
    stall_time = unknown_stall_time;
  if (upstream.entry.cold_until > now)
    stall_time = Scale(stall_time, kColdFactor);
  return std::max(stall_time, kMinStallTime);
}

// Probability that a repeatable request whose attempt has failed is not served
// by its next attempt either.
constexpr double kRepeatableUnservedWeight = 0.1;

double UnservedWeight(bool must_succeed) {
  return must_succeed ? 1 : kRepeatableUnservedWeight;
}

// Counts a request as probably not served if its attempt has failed in a way
// that has not been counted when the attempt stalled.
void CountLostAttempt(ShardState& shard_state,
                      const RunningAttempt& attempt,
                      Outcome outcome,
                      base::TimePoint now) {
  const bool lost =
      outcome == Outcome::kFailed || outcome == Outcome::kConnectionBroken ||
      outcome == Outcome::kInvalidResponse || outcome == Outcome::kStalled;
  if (lost && !attempt.stall_counted)
    CountUnserved(shard_state.loss_stats, UnservedWeight(attempt.must_succeed),
                  now);
}

// Tells whether the upstream has not received the request of an attempt that
// ended with this outcome.
bool IsNotSent(Outcome outcome) {
  return outcome == Outcome::kUnused || outcome == Outcome::kUnreachable ||
         outcome == Outcome::kConnectionRefused;
}

fleet::Shard RequestedShard(const SlotRequest& slot_request) {
  return {slot_request.work_class.service, slot_request.shard_index,
          slot_request.shard_count};
}

Refusal MakeRefusal(const ShardState* shard_state,
                    const SlotRequest& slot_request,
                    RefusalReason reason,
                    base::Rng& rng) {
  Refusal refusal{slot_request.attempt_id, reason, kPermanentRefusalRetryAfter};
  if (shard_state && reason != RefusalReason::kCrashesUpstreams)
    refusal.retry_after = ComputeRetryAfter(*shard_state, base::Uniform01(rng));
  return refusal;
}

void GrantSlot(Dispatcher& dispatcher,
               ShardState& shard_state,
               UpstreamState& upstream,
               const base::DaemonId& daemon,
               const SlotRequest& slot_request,
               base::Duration waited,
               base::TimePoint now,
               Actions& actions) {
  const base::Duration stall_time =
      StallTime(shard_state, upstream, slot_request, kStallFactor, now);
  RunningAttempt attempt;
  attempt.daemon = daemon;
  attempt.attempt_id = slot_request.attempt_id;
  attempt.upstream = upstream.entry.id;
  attempt.shard = RequestedShard(slot_request);
  attempt.work_class = slot_request.work_class;
  attempt.must_succeed = MustSucceed(slot_request);
  attempt.fingerprint = slot_request.fingerprint;
  attempt.granted_at = now;
  attempt.retry_at =
      now + StallTime(shard_state, upstream, slot_request, kRetryFactor, now);
  attempt.stalls_at =
      std::max(now + stall_time, attempt.retry_at + kStillRunningMargin);
  attempt.expires_at =
      now + slot_request.until_deadline - waited + kReportGraceTime;
  dispatcher.running_attempts[{daemon, slot_request.attempt_id}] = attempt;
  ++upstream.running_count;
  upstream.open_attempts.push_back(
      {now,
       MeanDuration(shard_state, slot_request.work_class, base::Duration(0))});
  MarkCovered(upstream, now);
  if (!slot_request.is_retry) {
    CountFirstAttempt(dispatcher.settings, shard_state, now);
    CountPlaced(shard_state.loss_stats, now);
  }
  actions.push_back(SendGrant{
      daemon, Grant{slot_request.attempt_id, upstream.entry.id,
                    upstream.entry.address, attempt.retry_at - now, waited}});
}

// Grants free slots to queued requests.
void ServeQueue(Dispatcher& dispatcher,
                ShardState& shard_state,
                base::TimePoint now,
                base::Rng& rng,
                Actions& actions) {
  while (!shard_state.queue.empty()) {
    const std::size_t next = NextQueuedIndex(shard_state, now);
    QueuedRequest& queued_request = shard_state.queue[next];
    UpstreamState* upstream = PlaceRequest(
        shard_state, queued_request.daemon, queued_request.slot_request,
        dispatcher.settings.floor_share, now, rng);
    if (!upstream)
      return;
    GrantSlot(dispatcher, shard_state, *upstream, queued_request.daemon,
              queued_request.slot_request, now - queued_request.queued_at, now,
              actions);
    shard_state.queue.erase(shard_state.queue.begin() +
                            static_cast<std::ptrdiff_t>(next));
  }
}

bool IsQueued(const ShardState& shard_state,
              const base::DaemonId& daemon,
              AttemptId attempt_id) {
  return std::any_of(shard_state.queue.begin(), shard_state.queue.end(),
                     [&](const QueuedRequest& queued_request) {
                       return queued_request.daemon == daemon &&
                              queued_request.slot_request.attempt_id ==
                                  attempt_id;
                     });
}

// Replies again to a slot request that has been received before. Returns false
// if there is no reply to repeat.
bool RepeatReply(const Dispatcher& dispatcher,
                 const base::DaemonId& daemon,
                 const SlotRequest& slot_request,
                 const ShardState& shard_state,
                 Actions& actions) {
  const auto found =
      dispatcher.running_attempts.find({daemon, slot_request.attempt_id});
  if (found != dispatcher.running_attempts.end()) {
    const auto upstream = shard_state.upstreams.find(found->second.upstream);
    if (upstream == shard_state.upstreams.end())
      return false;
    actions.push_back(SendGrant{
        daemon, Grant{slot_request.attempt_id, found->second.upstream,
                      upstream->second.entry.address,
                      found->second.retry_at - found->second.granted_at,
                      base::Duration(0)}});
    return true;
  }
  if (!IsQueued(shard_state, daemon, slot_request.attempt_id))
    return false;
  actions.push_back(
      SendQueuedNotice{daemon, QueuedNotice{slot_request.attempt_id}});
  return true;
}

std::vector<OpenAttempt>::iterator FindOpenAttempt(UpstreamState& upstream,
                                                   base::TimePoint granted_at) {
  return std::find_if(upstream.open_attempts.begin(),
                      upstream.open_attempts.end(),
                      [granted_at](const OpenAttempt& open_attempt) {
                        return open_attempt.granted_at == granted_at;
                      });
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
    if (is_abandoned)
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
      CountUnserved(shard_state.loss_stats,
                    UnservedWeight(attempt.must_succeed), now);
    }
    ++item;
  }
}

// Refuses queued requests that can no longer be completed before their
// deadline.
void RefuseExpiredRequests(ShardState& shard_state,
                           base::TimePoint now,
                           base::Rng& rng,
                           Actions& actions) {
  std::erase_if(shard_state.queue, [&](const QueuedRequest& queued_request) {
    const base::Duration duration = MeanDuration(
        shard_state, queued_request.slot_request.work_class, base::Duration(0));
    if (now + Scale(duration, kShortDurationShare) < queued_request.deadline)
      return false;
    CountUnserved(shard_state.loss_stats, 1, now);
    actions.push_back(
        SendRefusal{queued_request.daemon,
                    MakeRefusal(&shard_state, queued_request.slot_request,
                                RefusalReason::kExpired, rng)});
    return true;
  });
}

}  // namespace

Actions OnSlotRequest(Dispatcher& dispatcher,
                      const base::DaemonId& daemon,
                      const SlotRequest& slot_request,
                      base::TimePoint now,
                      base::Rng& rng) {
  Actions actions;
  ShardState* found =
      FindOrCreateShard(dispatcher, RequestedShard(slot_request), now);
  if (!dispatcher.ready || !found || found->upstreams.empty()) {
    const RefusalReason reason = dispatcher.ready ? RefusalReason::kNoUpstream
                                                  : RefusalReason::kNotReady;
    actions.push_back(
        SendRefusal{daemon, MakeRefusal(nullptr, slot_request, reason, rng)});
    std::get<SendRefusal>(actions.back()).refusal.retry_after =
        kNoUpstreamRetryAfter;
    return actions;
  }
  ShardState& shard_state = *found;
  TakeUpShard(dispatcher, RequestedShard(slot_request), shard_state, now);
  shard_state.last_slot_request_at = now;
  if (RepeatReply(dispatcher, daemon, slot_request, shard_state, actions))
    return actions;
  if (HasCrashedUpstreams(dispatcher, slot_request)) {
    actions.push_back(SendRefusal{
        daemon, MakeRefusal(&shard_state, slot_request,
                            RefusalReason::kCrashesUpstreams, rng)});
    return actions;
  }
  if (slot_request.is_retry &&
      !TryTakeRetryToken(dispatcher.settings, shard_state,
                         slot_request.work_class, now)) {
    CountUnserved(shard_state.loss_stats,
                  UnservedWeight(MustSucceed(slot_request)), now);
    actions.push_back(
        SendRefusal{daemon, MakeRefusal(&shard_state, slot_request,
                                        RefusalReason::kRetryBudget, rng)});
    return actions;
  }
  // Queued requests are served first. The new request can still get a slot if
  // the free ones cannot be used for the next queued request.
  ServeQueue(dispatcher, shard_state, now, rng, actions);
  UpstreamState* upstream =
      PlaceRequest(shard_state, daemon, slot_request,
                   dispatcher.settings.floor_share, now, rng);
  if (upstream) {
    GrantSlot(dispatcher, shard_state, *upstream, daemon, slot_request,
              base::Duration(0), now, actions);
    return actions;
  }
  if (!MayQueue(shard_state, slot_request)) {
    CountUnserved(shard_state.loss_stats, 1, now);
    actions.push_back(
        SendRefusal{daemon, MakeRefusal(&shard_state, slot_request,
                                        RefusalReason::kOverload, rng)});
    return actions;
  }
  Enqueue(shard_state, QueuedRequest{daemon, slot_request, now,
                                     now + slot_request.until_late,
                                     now + slot_request.until_deadline});
  actions.push_back(
      SendQueuedNotice{daemon, QueuedNotice{slot_request.attempt_id}});
  return actions;
}

Actions OnAttemptReport(Dispatcher& dispatcher,
                        const base::DaemonId& daemon,
                        const AttemptReport& report,
                        base::TimePoint now,
                        base::Rng& rng) {
  Actions actions;
  const auto found =
      dispatcher.running_attempts.find({daemon, report.attempt_id});
  if (found == dispatcher.running_attempts.end() ||
      found->second.upstream != report.upstream)
    return actions;
  if (report.outcome == Outcome::kStillRunning) {
    found->second.is_still_running = true;
    return actions;
  }
  const RunningAttempt attempt = found->second;
  dispatcher.running_attempts.erase(found);
  const auto shard = dispatcher.shards.find(attempt.shard);
  if (shard == dispatcher.shards.end())
    return actions;
  ShardState& shard_state = shard->second;
  ReleaseSlot(shard_state, attempt);
  const auto found_upstream = shard_state.upstreams.find(attempt.upstream);
  if (found_upstream == shard_state.upstreams.end())
    return actions;
  UpstreamState& upstream = found_upstream->second;
  if (IsNotSent(report.outcome))
    RevokeCoverage(upstream, attempt, now);
  CountLostAttempt(shard_state, attempt, report.outcome, now);
  UpdateCrashRecords(dispatcher, upstream, attempt, report.outcome, now);
  const double weight = RecordDaemonOutcome(
      dispatcher, daemon, attempt.upstream, report.outcome, now);
  CountOutcome(shard_state, upstream, attempt, report, weight, now, actions);
  ServeQueue(dispatcher, shard_state, now, rng, actions);
  return actions;
}

void OnWithdrawal(Dispatcher& dispatcher,
                  const base::DaemonId& daemon,
                  const Withdrawal& withdrawal) {
  for (auto& [shard, shard_state] : dispatcher.shards) {
    std::erase_if(shard_state.queue, [&](const QueuedRequest& queued_request) {
      return queued_request.daemon == daemon &&
             queued_request.slot_request.attempt_id == withdrawal.attempt_id;
    });
  }
}

Actions OnUpstreamRecord(Dispatcher& dispatcher,
                         const fleet::UpstreamRecord& record,
                         base::TimePoint now,
                         base::Rng& rng) {
  Actions actions;
  const fleet::UpstreamEntry& entry = record.entry;
  if (record.removed)
    dispatcher.upstreams.erase(entry.id);
  else
    dispatcher.upstreams[entry.id] = entry;
  // The state of a service with one shard is created before its first slot
  // request, so that the first request is not delayed by it.
  if (!record.removed)
    dispatcher.shards.try_emplace({entry.service, 0, 1});
  for (auto& [shard, shard_state] : dispatcher.shards) {
    if (shard.service != entry.service || !fleet::IsInShard(entry.id, shard))
      continue;
    if (record.removed) {
      shard_state.upstreams.erase(entry.id);
      continue;
    }
    UpdateUpstreamEntry(shard_state, entry, now);
    ServeQueue(dispatcher, shard_state, now, rng, actions);
  }
  return actions;
}

Actions OnProbeResult(Dispatcher& dispatcher,
                      const base::ServiceId& service,
                      const base::UpstreamId& upstream,
                      bool healthy,
                      base::TimePoint now) {
  Actions actions;
  for (auto& [shard, shard_state] : dispatcher.shards) {
    if (shard.service != service)
      continue;
    const auto found_upstream = shard_state.upstreams.find(upstream);
    if (found_upstream != shard_state.upstreams.end())
      HandleProbeResult(found_upstream->second, healthy, now, actions);
  }
  return actions;
}

Actions OnTick(Dispatcher& dispatcher, base::TimePoint now, base::Rng& rng) {
  Actions actions;
  CheckRunningAttempts(dispatcher, now, actions);
  ExpireCrashRecords(dispatcher, now);
  ExpireShards(dispatcher, now);
  ExpireDigests(dispatcher, now);
  for (auto& [shard, shard_state] : dispatcher.shards) {
    if (!IsActive(shard_state, now))
      continue;
    for (auto& [upstream_id, upstream] : shard_state.upstreams)
      StartDueProbe(upstream, now, actions);
    RefuseExpiredRequests(shard_state, now, rng, actions);
    ServeQueue(dispatcher, shard_state, now, rng, actions);
  }
  return actions;
}

bool NeedsTick(const Dispatcher& dispatcher, base::TimePoint now) {
  if (!dispatcher.running_attempts.empty())
    return true;
  for (const auto& [shard, shard_state] : dispatcher.shards) {
    if (!shard_state.queue.empty())
      return true;
    if (!IsActive(shard_state, now))
      continue;
    for (const auto& [upstream_id, upstream] : shard_state.upstreams) {
      if (upstream.health_status == HealthStatus::kSuspended)
        return true;
    }
  }
  return false;
}

}  // namespace poplarfork::dispatch
