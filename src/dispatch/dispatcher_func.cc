#include "dispatch/dispatcher_func.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "dispatch/account_limit_func.h"
#include "dispatch/admission_func.h"
#include "dispatch/coverage_func.h"
#include "dispatch/crash_func.h"
#include "dispatch/crash_suspicion_func.h"
#include "dispatch/daemon_outcome_func.h"
#include "dispatch/handover_func.h"
#include "dispatch/hedge_func.h"
#include "dispatch/leaving_func.h"
#include "dispatch/outlier_detection_func.h"
#include "dispatch/pause_func.h"
#include "dispatch/placement_func.h"
#include "dispatch/queue_func.h"
#include "dispatch/rate_limit_func.h"
#include "dispatch/running_attempt_func.h"
#include "dispatch/shard_state_func.h"
#include "fleet/shard_func.h"

namespace poplarfork::dispatch {

namespace {

// A dispatcher that has received no slot request for a shard for this long is
// no longer the shard's dispatcher and leaves the health probes to the one that
// is.
constexpr base::Duration kDispatcherIdleTimeout = std::chrono::seconds(3);

bool IsActive(const ShardState& shard_state, base::TimePoint now) {
  return !shard_state.queue.empty() ||
         now - shard_state.last_slot_request_at < kDispatcherIdleTimeout;
}

// Tells whether the upstream has not received the request of an attempt that
// ended with this outcome.
bool IsNotSent(Outcome outcome) {
  return outcome == Outcome::kUnused || outcome == Outcome::kUnreachable ||
         outcome == Outcome::kConnectionRefused;
}

// Tells whether the upstream has sent a response to the request of an attempt
// that ended with this outcome.
bool IsFromUpstream(Outcome outcome) {
  return outcome == Outcome::kServed || outcome == Outcome::kFailed ||
         outcome == Outcome::kShed;
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
bool RepeatReply(Dispatcher& dispatcher,
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
    found->second.is_grant_repeated = true;
    actions.push_back(SendGrant{
        daemon, Grant{slot_request.attempt_id, found->second.upstream,
                      upstream->second.entry.address,
                      found->second.retry_at - found->second.granted_at,
                      found->second.hedge_after, base::Duration(0)}});
    return true;
  }
  if (!IsQueued(shard_state, daemon, slot_request.attempt_id))
    return false;
  actions.push_back(
      SendQueuedNotice{daemon, QueuedNotice{slot_request.attempt_id}});
  return true;
}

// Removes the attempt of a slot request that is repeated although it has been
// granted, because its grant was lost and the upstream is gone, so that it gets
// another one. Returns whether there was such an attempt.
bool DropReplacedAttempt(Dispatcher& dispatcher,
                         const base::DaemonId& daemon,
                         const SlotRequest& slot_request,
                         ShardState& shard_state) {
  const auto found =
      dispatcher.running_attempts.find({daemon, slot_request.attempt_id});
  if (found == dispatcher.running_attempts.end())
    return false;
  ReleaseSlot(shard_state, found->second);
  dispatcher.running_attempts.erase(found);
  return true;
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
  if (DropReplacedAttempt(dispatcher, daemon, slot_request, shard_state)) {
    // The request has paid with the grant that is replaced.
    GiveBackRetryToken(shard_state, slot_request);
    SlotRequest paid_request = slot_request;
    paid_request.was_granted = true;
    return OnSlotRequest(dispatcher, daemon, paid_request, now, rng);
  }
  if (IsRefusedForCrashes(dispatcher, slot_request, now)) {
    actions.push_back(SendRefusal{
        daemon, MakeRefusal(&shard_state, slot_request,
                            RefusalReason::kCrashesUpstreams, rng)});
    return actions;
  }
  if (slot_request.is_hedge) {
    const HedgeDecision decision = DecideHedge(dispatcher.settings, shard_state,
                                               daemon, slot_request, now, rng);
    if (decision.refusal)
      actions.push_back(SendRefusal{
          daemon,
          MakeRefusal(&shard_state, slot_request, *decision.refusal, rng)});
    else
      GrantSlot(dispatcher, shard_state, decision.placement, daemon,
                slot_request, {}, base::Duration(0), now, actions);
    return actions;
  }
  if (slot_request.is_retry &&
      !TryTakeRetryToken(dispatcher.settings, shard_state, slot_request, now)) {
    CountUnserved(shard_state.loss_stats,
                  UnservedWeight(MustSucceed(slot_request)), now);
    actions.push_back(
        SendRefusal{daemon, MakeRefusal(&shard_state, slot_request,
                                        RefusalReason::kRetryBudget, rng)});
    return actions;
  }
  if (RefuseOverAllowance(dispatcher, daemon, slot_request, now, rng, actions))
    return actions;
  const base::AccountId charged_account =
      ChargedAccount(dispatcher, slot_request);
  // Queued requests are served first. The new request can still get a slot if
  // the free ones cannot be used for the next queued request.
  ServeQueue(dispatcher, shard_state, now, rng, actions);
  const Placement placement =
      PlaceRequest(shard_state, daemon, slot_request,
                   dispatcher.settings.floor_share, now, rng);
  if (placement.upstream) {
    GrantSlot(dispatcher, shard_state, placement, daemon, slot_request,
              charged_account, base::Duration(0), now, actions);
    return actions;
  }
  if (RefuseIfPaused(shard_state, daemon, slot_request, now, actions)) {
    GiveBackAccountToken(dispatcher, charged_account);
    GiveBackRetryToken(shard_state, slot_request);
    return actions;
  }
  if (!MayQueue(shard_state, slot_request, now)) {
    GiveBackAccountToken(dispatcher, charged_account);
    GiveBackRetryToken(shard_state, slot_request);
    CountUnserved(shard_state.loss_stats, 1, now);
    actions.push_back(
        SendRefusal{daemon, MakeRefusal(&shard_state, slot_request,
                                        RefusalReason::kOverload, rng)});
    return actions;
  }
  Enqueue(
      shard_state,
      QueuedRequest{daemon, slot_request, now, now + slot_request.until_late,
                    now + slot_request.until_deadline, charged_account});
  actions.push_back(
      SendQueuedNotice{daemon, QueuedNotice{slot_request.attempt_id}});
  return actions;
}

Actions OnAttemptReport(Dispatcher& dispatcher,
                        const base::DaemonId& daemon,
                        const AttemptReport& received_report,
                        base::TimePoint now,
                        base::Rng& rng) {
  Actions actions;
  AttemptReport report = received_report;
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
  report.outcome = JudgedOutcome(attempt, report);
  dispatcher.running_attempts.erase(found);
  GiveBackUnusedToken(dispatcher, attempt, report);
  if (report.notice.is_leaving &&
      MarkLeaving(dispatcher, attempt.upstream, attempt.incarnation, now))
    actions.push_back(LeavingLearned{attempt.upstream, daemon});
  const auto shard = dispatcher.shards.find(attempt.shard);
  if (shard == dispatcher.shards.end())
    return actions;
  ShardState& shard_state = shard->second;
  ReleaseSlot(shard_state, attempt);
  const auto found_upstream = shard_state.upstreams.find(attempt.upstream);
  if (found_upstream == shard_state.upstreams.end())
    return actions;
  UpstreamState& upstream = found_upstream->second;
  if (report.notice.pause > base::Duration(0))
    PauseDaemon(upstream, daemon, report.notice.pause, now);
  if (IsNotSent(report.outcome)) {
    RevokeCoverage(upstream, attempt, now);
    UncountTowardsLimit(upstream);
  }
  if (IsFromUpstream(report.outcome))
    ApplyStatedLimit(upstream, report.notice.rate_limit, attempt.granted_at,
                     now);
  CountLostAttempt(shard_state, attempt, report.outcome, now);
  UpdateCrashRecords(dispatcher, upstream, attempt, report.outcome, now,
                     actions);
  const double weight = RecordDaemonOutcome(
      dispatcher, daemon, attempt.upstream, report.outcome, now);
  CountOutcome(shard_state, upstream, attempt, report, weight, now, actions);
  ServeQueue(dispatcher, shard_state, now, rng, actions);
  return actions;
}

void OnWithdrawal(Dispatcher& dispatcher,
                  const base::DaemonId& daemon,
                  const Withdrawal& withdrawal) {
  RemoveFromQueue(dispatcher, daemon, withdrawal.attempt_id);
}

Actions OnUpstreamRecord(Dispatcher& dispatcher,
                         const fleet::UpstreamRecord& record,
                         base::TimePoint now,
                         base::Rng& rng) {
  Actions actions;
  CheckForRestart(dispatcher, record, now, actions);
  const fleet::UpstreamEntry entry =
      record.removed ? record.entry
                     : ApplyLeavingMark(dispatcher, record.entry);
  if (record.removed)
    dispatcher.upstreams.erase(entry.id);
  else
    dispatcher.upstreams[entry.id] = entry;
  // The state of a service with one shard is created before its first slot
  // request, so that the first request is not delayed by it.
  if (!record.removed)
    dispatcher.shards.try_emplace({entry.service, 0, 1});
  for (auto& [shard, shard_state] : dispatcher.shards) {
    const bool is_in_shard = !record.removed &&
                             shard.service == entry.service &&
                             fleet::IsInShard(entry.id, shard);
    // The shard may hold the upstream although the entry now names another
    // service.
    if (!is_in_shard) {
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
                      ProbeResult result,
                      base::TimePoint now) {
  Actions actions;
  const bool is_crash_probe =
      HandleCrashProbeResult(dispatcher, upstream, result, now, actions);
  for (auto& [shard, shard_state] : dispatcher.shards) {
    if (shard.service != service)
      continue;
    const auto found_upstream = shard_state.upstreams.find(upstream);
    if (found_upstream == shard_state.upstreams.end())
      continue;
    UpstreamState& state = found_upstream->second;
    if (!is_crash_probe)
      HandleProbeResult(state, result == ProbeResult::kHealthy, now, actions);
    else if (result == ProbeResult::kRefused)
      SuspendRefusing(state, now, actions);
  }
  return actions;
}

Actions OnTick(Dispatcher& dispatcher, base::TimePoint now, base::Rng& rng) {
  Actions actions;
  CheckRunningAttempts(dispatcher, now, actions);
  ExpireCrashRecords(dispatcher, now);
  StartDueCrashProbes(dispatcher, now, actions);
  ExpireLeavingMarks(dispatcher, now);
  ExpireShards(dispatcher, now);
  ExpireDigests(dispatcher, now);
  for (auto& [shard, shard_state] : dispatcher.shards) {
    if (!IsActive(shard_state, now))
      continue;
    for (auto& [upstream_id, upstream] : shard_state.upstreams) {
      StartDueProbe(upstream, now, actions);
    }
    RefuseExpiredRequests(dispatcher, shard_state, now, rng, actions);
    ServeQueue(dispatcher, shard_state, now, rng, actions);
  }
  return actions;
}

bool NeedsTick(const Dispatcher& dispatcher, base::TimePoint now) {
  if (!dispatcher.running_attempts.empty() || NeedsCrashProbes(dispatcher, now))
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
