#include "request/request_func.h"

#include <algorithm>
#include <utility>

#include "fleet/shard_func.h"
#include "request/result_func.h"

namespace poplarfork::request {

namespace {

using dispatch::Outcome;
using dispatch::RefusalReason;

// A dispatcher in the same region replies within a few milliseconds. The slot
// request is repeated after this time because datagrams may be lost.
constexpr base::Duration kSlotRequestTimeout = std::chrono::milliseconds(45);
// While a request is queued, the slot request is repeated at this interval to
// detect whether the dispatcher is still alive.
constexpr base::Duration kQueuedRepeatInterval = std::chrono::milliseconds(300);
// Number of slot requests without a reply after which another daemon is asked.
constexpr std::uint32_t kMaxUnansweredSlotRequests = 3;
// Number of failed connections after which a request fails. Nothing has been
// sent on them, so they do not count as retries.
constexpr std::uint32_t kMaxFailedConnections = 8;
// Number of returned grants after which a request gives up. The dispatcher
// learns from each why it was returned, so there is seldom a second one.
constexpr std::uint32_t kMaxReturnedGrants = 8;
// Number of dispatchers without a list of upstreams that are skipped.
constexpr std::uint32_t kMaxNotReadyDispatchers = 3;
// A retry is not worth its slot unless at least this much time is left.
constexpr base::Duration kMinRetryTime = std::chrono::milliseconds(60);
// Number of further shards that are tried when the first one has no free slot.
// A second choice evens out most of the difference between the shards' loads.
constexpr std::uint32_t kMaxFullShards = 1;
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

base::Duration TimeLeft(base::TimePoint until, base::TimePoint now) {
  return std::max(until - now, base::Duration(0));
}

std::uint32_t ShardCount(const Request& request) {
  return static_cast<std::uint32_t>(request.arrival.shard_slots.size());
}

dispatch::SlotRequest MakeSlotRequest(const Request& request,
                                      const Context& context,
                                      base::TimePoint now) {
  dispatch::SlotRequest slot_request;
  slot_request.attempt_id = request.slot_request_id;
  slot_request.shard_index = request.shard_index;
  slot_request.shard_count = ShardCount(request);
  slot_request.work_class = request.arrival.work_class;
  slot_request.account = request.arrival.account;
  slot_request.priority = request.arrival.priority;
  slot_request.until_late = TimeLeft(request.arrival.late_at, now);
  slot_request.until_deadline = TimeLeft(request.arrival.deadline, now);
  slot_request.is_retry = request.slot_request_is_retry;
  slot_request.was_granted = !request.avoid.empty();
  slot_request.fingerprints = request.arrival.fingerprints;
  slot_request.data_centre = context.data_centre;
  slot_request.avoid = request.avoid;
  return slot_request;
}

void RepeatSlotRequest(Request& request,
                       const Context& context,
                       base::TimePoint now,
                       Actions& actions) {
  request.slot_request_repeat_at = now + kSlotRequestTimeout;
  actions.push_back(SendSlotRequest{request.asked_dispatcher,
                                    MakeSlotRequest(request, context, now)});
}

void StartSlotRequest(Request& request,
                      bool is_retry,
                      const base::DaemonId* silent_dispatcher,
                      const Context& context,
                      base::TimePoint now,
                      Actions& actions) {
  request.phase = request.attempt ? Phase::kRunningAndRequestingSlot
                                  : Phase::kRequestingSlot;
  request.slot_request_id = context.make_attempt_id();
  request.asked_dispatcher =
      context.find_dispatcher({request.arrival.work_class.service,
                               request.shard_index, ShardCount(request)},
                              silent_dispatcher);
  request.slot_request_is_retry = is_retry;
  request.unanswered_slot_requests = 0;
  ++request.slot_requests;
  RepeatSlotRequest(request, context, now, actions);
}

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

// Tells whether the request may be sent once more after an attempt with this
// result.
bool MayRetry(const Request& request,
              AttemptResult result,
              base::TimePoint now) {
  if (request.arrival.deadline - now < kMinRetryTime)
    return false;
  if (IsNotSent(result))
    return request.failed_connections < kMaxFailedConnections;
  if (request.sends >= request.arrival.max_attempts)
    return false;
  if (result == AttemptResult::kNotRun || result == AttemptResult::kMisdirected)
    return true;
  return request.arrival.work_class.repeatable;
}

void EndAttempt(Request& request,
                Outcome outcome,
                const AttemptEnd* end,
                base::TimePoint now,
                Actions& actions) {
  const Attempt& attempt = *request.attempt;
  dispatch::AttemptReport report;
  report.attempt_id = attempt.id;
  report.upstream = attempt.upstream;
  report.outcome = outcome;
  report.duration = end ? end->duration : now - attempt.started_at;
  if (end) {
    report.has_reported_load = end->has_reported_load;
    report.reported_load = end->reported_load;
    report.notice = end->notice;
  }
  actions.push_back(SendAttemptReport{attempt.dispatcher, report});
  if (outcome != Outcome::kServed)
    request.avoid.push_back(attempt.upstream);
  request.possible_runs += MayHaveRun(outcome) ? 1 : 0;
  request.attempt.reset();
}

void WithdrawSlotRequest(const Request& request, Actions& actions) {
  actions.push_back(SendWithdrawal{
      request.asked_dispatcher, dispatch::Withdrawal{request.slot_request_id}});
}

bool HasOpenSlotRequest(const Request& request) {
  return request.phase == Phase::kRequestingSlot ||
         request.phase == Phase::kQueued ||
         request.phase == Phase::kRunningAndRequestingSlot;
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
  if (request.attempt) {
    actions.push_back(CancelAttempt{});
    EndAttempt(request, Outcome::kStalled, nullptr, now, actions);
    FailRequest(request, Failure::kTimeout, base::Duration(0), actions);
    return;
  }
  FailRequest(request,
              request.sends > 0 ? Failure::kTimeout : Failure::kExpired,
              kDefaultRetryAfter, actions);
}

// Tells the dispatcher that the current attempt takes long, and requests a slot
// at another upstream. A non-repeatable request continues to wait for its
// response.
void OnStall(Request& request,
             const Context& context,
             base::TimePoint now,
             Actions& actions) {
  request.stall_handled = true;
  dispatch::AttemptReport report;
  report.attempt_id = request.attempt->id;
  report.upstream = request.attempt->upstream;
  report.outcome = Outcome::kStillRunning;
  report.duration = now - request.attempt->started_at;
  actions.push_back(SendAttemptReport{request.attempt->dispatcher, report});
  const bool has_time_left = request.arrival.deadline - now >= kMinRetryTime;
  if (!request.arrival.work_class.repeatable || !has_time_left ||
      request.sends >= request.arrival.max_attempts)
    return;
  request.avoid.push_back(request.attempt->upstream);
  StartSlotRequest(request, true, nullptr, context, now, actions);
}

void OnSlotRequestTimeout(Request& request,
                          const Context& context,
                          base::TimePoint now,
                          Actions& actions) {
  ++request.unanswered_slot_requests;
  if (request.unanswered_slot_requests < kMaxUnansweredSlotRequests) {
    RepeatSlotRequest(request, context, now, actions);
    return;
  }
  actions.push_back(SuspectDispatcher{request.asked_dispatcher});
  // The dispatcher that does not reply may still have granted the attempt. A
  // new attempt id keeps its late reply from being taken for the reply of the
  // next dispatcher.
  WithdrawSlotRequest(request, actions);
  const base::DaemonId silent_dispatcher = request.asked_dispatcher;
  StartSlotRequest(request, request.slot_request_is_retry, &silent_dispatcher,
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
  StartSlotRequest(request, false, nullptr, context, now, actions);
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
    const bool in_use =
        request.attempt && request.attempt->id == grant.attempt_id;
    if (!in_use)
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
  if (request.attempt) {
    actions.push_back(CancelAttempt{});
    EndAttempt(request, Outcome::kStalled, nullptr, now, actions);
  }
  request.phase = Phase::kRunning;
  request.stall_handled = false;
  Attempt attempt;
  attempt.id = grant.attempt_id;
  attempt.dispatcher = from;
  attempt.upstream = grant.upstream;
  attempt.address = grant.address;
  attempt.started_at = now;
  attempt.waited = grant.waited;
  attempt.retry_at = now + grant.retry_after;
  request.attempt = attempt;
  ++request.sends;
  actions.push_back(
      StartAttempt{attempt, TimeLeft(request.arrival.deadline, now)});
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
  request.avoid.push_back(grant.upstream);
  if (++request.returned_grants <= kMaxReturnedGrants) {
    StartSlotRequest(request, request.slot_request_is_retry, nullptr, context,
                     now, actions);
    return actions;
  }
  if (request.attempt)
    request.phase = Phase::kRunning;
  else
    FailRequest(request, Failure::kNoUpstream, kDefaultRetryAfter, actions);
  return actions;
}

Actions OnQueuedNotice(Request& request,
                       const dispatch::QueuedNotice& notice,
                       base::TimePoint now) {
  if (!HasOpenSlotRequest(request) ||
      notice.attempt_id != request.slot_request_id)
    return {};
  request.unanswered_slot_requests = 0;
  request.slot_request_repeat_at = now + kQueuedRepeatInterval;
  if (request.phase == Phase::kRequestingSlot)
    request.phase = Phase::kQueued;
  return {};
}

Actions OnRefusal(Request& request,
                  const dispatch::Refusal& refusal,
                  const Context& context,
                  base::TimePoint now) {
  Actions actions;
  if (!HasOpenSlotRequest(request) ||
      refusal.attempt_id != request.slot_request_id)
    return actions;
  if (request.phase == Phase::kRunningAndRequestingSlot) {
    // The current attempt may still succeed.
    request.phase = Phase::kRunning;
    return actions;
  }
  const bool try_next = refusal.reason == RefusalReason::kNotReady &&
                        request.not_ready_refusals < kMaxNotReadyDispatchers;
  if (try_next) {
    ++request.not_ready_refusals;
    actions.push_back(SuspectDispatcher{request.asked_dispatcher});
    const base::DaemonId not_ready_dispatcher = request.asked_dispatcher;
    StartSlotRequest(request, request.slot_request_is_retry,
                     &not_ready_dispatcher, context, now, actions);
    return actions;
  }
  if (IsShardFull(refusal.reason) && request.full_shards < kMaxFullShards &&
      ShardCount(request) > 1) {
    ++request.full_shards;
    const std::uint32_t full_shard = request.shard_index;
    request.shard_index = fleet::ChooseShard(
        request.arrival.shard_slots, request.arrival.fingerprints.family.value,
        &full_shard);
    StartSlotRequest(request, request.slot_request_is_retry, nullptr, context,
                     now, actions);
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
  if (!request.attempt)
    return actions;
  const bool had_open_slot_request =
      request.phase == Phase::kRunningAndRequestingSlot;
  const bool not_sent = IsNotSent(end.result);
  EndAttempt(request, ToOutcome(end.result), &end, now, actions);
  if (not_sent) {
    --request.sends;
    ++request.failed_connections;
  }
  if (end.result == AttemptResult::kCompleted) {
    if (had_open_slot_request)
      WithdrawSlotRequest(request, actions);
    request.phase = Phase::kEnded;
    actions.push_back(DeliverResponse{});
    return actions;
  }
  request.has_failure_response |= end.result == AttemptResult::kFailed;
  if (had_open_slot_request) {
    request.phase = Phase::kRequestingSlot;
    return actions;
  }
  if (MayRetry(request, end.result, now)) {
    StartSlotRequest(request, !not_sent, nullptr, context, now, actions);
    return actions;
  }
  FailRequest(request, ToFailure(end.result), kDefaultRetryAfter, actions);
  return actions;
}

Actions OnCallerDisconnected(Request& request) {
  Actions actions;
  if (request.phase == Phase::kEnded)
    return actions;
  if (HasOpenSlotRequest(request))
    WithdrawSlotRequest(request, actions);
  if (request.attempt) {
    actions.push_back(CancelAttempt{});
    dispatch::AttemptReport report;
    report.attempt_id = request.attempt->id;
    report.upstream = request.attempt->upstream;
    report.outcome = Outcome::kCancelled;
    actions.push_back(SendAttemptReport{request.attempt->dispatcher, report});
    request.attempt.reset();
  }
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
  if (request.attempt && !request.stall_handled &&
      request.phase == Phase::kRunning && request.attempt->retry_at <= now)
    OnStall(request, context, now, actions);
  if (HasOpenSlotRequest(request) && request.slot_request_repeat_at <= now)
    OnSlotRequestTimeout(request, context, now, actions);
  return actions;
}

base::TimePoint NextTimerAt(const Request& request) {
  if (request.phase == Phase::kEnded)
    return base::TimePoint::max();
  base::TimePoint timer_at = request.arrival.deadline;
  if (request.attempt && !request.stall_handled)
    timer_at = std::min(timer_at, request.attempt->retry_at);
  if (HasOpenSlotRequest(request))
    timer_at = std::min(timer_at, request.slot_request_repeat_at);
  return timer_at;
}

}  // namespace poplarfork::request
