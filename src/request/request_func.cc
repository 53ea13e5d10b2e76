#include "request/request_func.h"

#include <algorithm>

#include "fleet/shard_func.h"
#include "request/attempt_func.h"
#include "request/result_func.h"
#include "request/second_attempt_func.h"
#include "request/slot_request_func.h"

namespace poplarfork::request {

namespace {

using dispatch::RefusalReason;

// Number of returned grants after which a request gives up. The dispatcher
// learns from each why it was returned, so there is seldom a second one.
constexpr std::uint32_t kMaxReturnedGrants = 8;
// Number of dispatchers without a list of upstreams that are skipped.
constexpr std::uint32_t kMaxNotReadyDispatchers = 3;
// Number of further shards that are tried when the first one has no free slot.
// A second choice evens out most of the difference between the shards' loads.
constexpr std::uint32_t kMaxFullShards = 1;
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

void FailRequest(Request& request,
                 Failure failure,
                 base::Duration retry_after,
                 Actions& actions) {
  request.phase = Phase::kEnded;
  if (request.has_failure_response) {
    actions.push_back(DeliverFailureResponse{});
    return;
  }
  actions.push_back(
      RespondWithFailure{failure, request.possible_runs == 0, retry_after});
}

// Sends the request again after its last attempt has ended with `result`, or
// ends it.
void RetryOrFail(Request& request,
                 AttemptResult result,
                 const Context& context,
                 base::TimePoint now,
                 Actions& actions) {
  if (MayRetry(request, result, now)) {
    const SlotPurpose purpose =
        IsNotSent(result) ? SlotPurpose::kFirst : SlotPurpose::kRetry;
    StartSlotRequest(request, purpose, nullptr, context, now, actions);
    return;
  }
  FailRequest(request, ToFailure(result), kDefaultRetryAfter, actions);
}

// Tells whether the grant is the reply to the open slot request.
bool IsReplyToOpenSlotRequest(const Request& request,
                              const dispatch::Grant& grant) {
  return HasOpenSlotRequest(request) &&
         grant.attempt_id == request.slot_request_id;
}

dispatch::AttemptReport MakeUnusedReport(const dispatch::Grant& grant) {
  dispatch::AttemptReport unused;
  unused.attempt_id = grant.attempt_id;
  unused.upstream = grant.upstream;
  return unused;
}

// Returns a grant's slot to the dispatcher.
void ReportUnused(const base::DaemonId& from,
                  const dispatch::Grant& grant,
                  Actions& actions) {
  actions.push_back(SendAttemptReport{from, MakeUnusedReport(grant)});
}

void OnDeadline(Request& request, base::TimePoint now, Actions& actions) {
  if (HasOpenSlotRequest(request))
    WithdrawSlotRequest(request, actions);
  if (!request.attempts.empty()) {
    CancelAttempts(request, CancelCause::kDeadline, now, actions);
    FailRequest(request, Failure::kTimeout, base::Duration(0), actions);
    return;
  }
  FailRequest(request,
              request.sends > 0 ? Failure::kTimeout : Failure::kExpired,
              kDefaultRetryAfter, actions);
}

// Handles the refusal of a slot for a hedge, which never ends a request by
// itself.
void OnHedgeNotGranted(Request& request,
                       const Context& context,
                       base::TimePoint now,
                       Actions& actions) {
  if (!request.attempts.empty()) {
    request.phase = Phase::kRunning;
    RequestSecondAttempt(request, context, now, actions);
    return;
  }
  // The first attempt has failed while the hedge was requested.
  RetryOrFail(request, request.last_result.value_or(AttemptResult::kNotRun),
              context, now, actions);
}

}  // namespace

Actions BeginRequest(Request& request,
                     const Arrival& arrival,
                     const Context& context,
                     base::TimePoint now) {
  Actions actions;
  request.arrival = arrival;
  request.arrived_at = now;
  request.shard_index = fleet::ChooseShard(
      arrival.shard_slots, arrival.fingerprints.family.value, nullptr);
  StartSlotRequest(request, SlotPurpose::kFirst, nullptr, context, now,
                   actions);
  return actions;
}

Actions OnGrant(Request& request,
                const base::DaemonId& from,
                const dispatch::Grant& grant,
                base::TimePoint now) {
  Actions actions;
  if (!IsReplyToOpenSlotRequest(request, grant)) {
    // This reply belongs to a slot request that has already been settled. If
    // the grant is in use, it is the same grant again; otherwise it is reported
    // as unused, so that its slot is freed.
    if (!FindAttempt(request, grant.attempt_id))
      ReportUnused(from, grant, actions);
    return actions;
  }
  if (request.arrival.deadline <= now) {
    // A paused process may receive the grant, or act on it, after the request's
    // deadline. The upstream must not be sent work that nobody waits for.
    ReportUnused(from, grant, actions);
    OnDeadline(request, now, actions);
    return actions;
  }
  // Attempts in progress go on even if they have stalled, because the new one
  // may fail while their upstreams still work on the request.
  request.phase = Phase::kRunning;
  request.stall_handled = false;
  BeginAttempt(request, from, grant, now, actions);
  return actions;
}

Actions OnUnwantedGrant(Request& request,
                        const base::DaemonId& from,
                        const dispatch::Grant& grant,
                        const dispatch::UpstreamNotice& notice,
                        const Context& context,
                        base::TimePoint now) {
  if (!IsReplyToOpenSlotRequest(request, grant) ||
      request.arrival.deadline <= now)
    return OnGrant(request, from, grant, now);
  Actions actions;
  dispatch::AttemptReport report = MakeUnusedReport(grant);
  report.notice = notice;
  actions.push_back(SendAttemptReport{from, report});
  AvoidUpstream(request, grant.upstream);
  if (request.slot_request_is_hedge) {
    OnHedgeNotGranted(request, context, now, actions);
    return actions;
  }
  if (++request.returned_grants <= kMaxReturnedGrants) {
    StartSlotRequest(request, LatestPurpose(request), nullptr, context, now,
                     actions);
    return actions;
  }
  if (request.attempts.empty())
    FailRequest(request, Failure::kNoUpstream, kDefaultRetryAfter, actions);
  else
    request.phase = Phase::kRunning;
  return actions;
}

Actions OnRefusal(Request& request,
                  const dispatch::Refusal& refusal,
                  const Context& context,
                  base::TimePoint now) {
  Actions actions;
  if (!HasOpenSlotRequest(request) ||
      refusal.attempt_id != request.slot_request_id)
    return actions;
  if (request.slot_request_is_hedge) {
    OnHedgeNotGranted(request, context, now, actions);
    return actions;
  }
  if (request.phase == Phase::kRunningAndRequestingSlot) {
    // The attempts in progress may still succeed.
    request.phase = Phase::kRunning;
    return actions;
  }
  const bool try_next = refusal.reason == RefusalReason::kNotReady &&
                        request.not_ready_refusals < kMaxNotReadyDispatchers;
  if (try_next) {
    ++request.not_ready_refusals;
    actions.push_back(SuspectDispatcher{request.asked_dispatcher});
    const base::DaemonId not_ready_dispatcher = request.asked_dispatcher;
    StartSlotRequest(request, LatestPurpose(request), &not_ready_dispatcher,
                     context, now, actions);
    return actions;
  }
  if (IsShardFull(refusal.reason) && request.full_shards < kMaxFullShards &&
      ShardCount(request) > 1) {
    ++request.full_shards;
    const std::uint32_t full_shard = request.shard_index;
    request.shard_index = fleet::ChooseShard(
        request.arrival.shard_slots, request.arrival.fingerprints.family.value,
        &full_shard);
    StartSlotRequest(request, LatestPurpose(request), nullptr, context, now,
                     actions);
    return actions;
  }
  FailRequest(request, ToFailure(refusal.reason), refusal.retry_after, actions);
  return actions;
}

Actions OnAttemptEnd(Request& request,
                     const AttemptEnd& end,
                     const Context& context,
                     base::TimePoint now) {
  Actions actions;
  if (!FindAttempt(request, end.attempt_id))
    return actions;
  FinishAttempt(request, end, actions);
  if (IsNotSent(end.result)) {
    --request.sends;
    ++request.failed_connections;
  }
  if (end.result == AttemptResult::kCompleted) {
    CancelAttempts(request, CancelCause::kCompleted, now, actions);
    if (HasOpenSlotRequest(request))
      WithdrawSlotRequest(request, actions);
    request.phase = Phase::kEnded;
    actions.push_back(DeliverResponse{});
    return actions;
  }
  request.has_failure_response |= end.result == AttemptResult::kFailed;
  if (!request.attempts.empty())
    return actions;
  if (HasOpenSlotRequest(request)) {
    request.phase = Phase::kRequestingSlot;
    return actions;
  }
  RetryOrFail(request, end.result, context, now, actions);
  return actions;
}

Actions OnCallerDisconnected(Request& request) {
  Actions actions;
  if (request.phase == Phase::kEnded)
    return actions;
  if (HasOpenSlotRequest(request))
    WithdrawSlotRequest(request, actions);
  CancelAttempts(request, CancelCause::kCallerDisconnected, base::TimePoint{},
                 actions);
  request.phase = Phase::kEnded;
  return actions;
}

Actions OnTimer(Request& request, const Context& context, base::TimePoint now) {
  Actions actions;
  if (request.phase == Phase::kEnded)
    return actions;
  if (request.arrival.deadline <= now) {
    OnDeadline(request, now, actions);
    return actions;
  }
  ReportStalls(request, now, actions);
  RequestSecondAttempt(request, context, now, actions);
  if (HasOpenSlotRequest(request) && request.slot_request_repeat_at <= now)
    OnSlotRequestTimeout(request, context, now, actions);
  return actions;
}

base::TimePoint NextTimerAt(const Request& request) {
  if (request.phase == Phase::kEnded)
    return base::TimePoint::max();
  base::TimePoint timer_at =
      std::min(request.arrival.deadline, NextAttemptTimerAt(request));
  if (HasOpenSlotRequest(request))
    timer_at = std::min(timer_at, request.slot_request_repeat_at);
  return timer_at;
}

}  // namespace poplarfork::request
