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
constexpr base::Duration kAskTimeout = std::chrono::milliseconds(45);
// While a request is queued, the slot request is repeated at this interval to
// detect whether the dispatcher is still alive.
constexpr base::Duration kWaitingInterval = std::chrono::milliseconds(300);
// Number of slot requests without a reply after which another daemon is asked.
constexpr std::uint32_t kMaxUnanswered = 3;
// Number of failed connections after which a request fails. Nothing has been
// sent on them, so they do not count as retries.
constexpr std::uint32_t kMaxUnreachable = 8;
// Number of dispatchers without a list of upstreams that are skipped.
constexpr std::uint32_t kMaxNotReady = 3;
// A retry is not worth its slot unless at least this much time is left.
constexpr base::Duration kMinRetryTime = std::chrono::milliseconds(60);
// Number of further shards that are tried when the first one has no free slot.
// Two choices even out most of the difference between the shards' loads.
constexpr std::uint32_t kMaxFullShards = 1;
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

base::Duration Left(base::TimePoint until, base::TimePoint now) {
  return std::max(until - now, base::Duration(0));
}

std::uint32_t ShardCount(const Request& request) {
  return static_cast<std::uint32_t>(request.arrival.shards.size());
}

dispatch::Ask MakeAsk(const Request& request,
                      const Context& context,
                      base::TimePoint now) {
  dispatch::Ask ask;
  ask.attempt = request.asked;
  ask.shard = request.shard;
  ask.shards = ShardCount(request);
  ask.work = request.arrival.work;
  ask.until_late = Left(request.arrival.late_at, now);
  ask.until_deadline = Left(request.arrival.deadline, now);
  ask.is_retry = request.asked_as_retry;
  ask.was_granted = !request.avoid.empty();
  ask.fingerprint = request.arrival.fingerprint;
  ask.data_centre = context.data_centre;
  ask.avoid = request.avoid;
  return ask;
}

void AskAgain(Request& request,
              const Context& context,
              base::TimePoint now,
              Actions& actions) {
  request.ask_again_at = now + kAskTimeout;
  actions.push_back(
      AskDispatcher{request.asked_of, MakeAsk(request, context, now)});
}

void AskAnew(Request& request,
             bool is_retry,
             const base::DaemonId* silent,
             const Context& context,
             base::TimePoint now,
             Actions& actions) {
  request.phase = request.attempt ? Phase::kRunningAndAsking : Phase::kAsking;
  request.asked = context.next_attempt();
  request.asked_of = context.dispatcher_of(
      {request.arrival.work.service, request.shard, ShardCount(request)},
      silent);
  request.asked_as_retry = is_retry;
  request.unanswered_asks = 0;
  ++request.asks;
  AskAgain(request, context, now, actions);
}

void Fail(Request& request,
          Failure failure,
          base::Duration retry_after,
          Actions& actions) {
  request.phase = Phase::kEnded;
  if (request.has_failed_answer) {
    actions.push_back(DeliverKeptAnswer{});
    return;
  }
  actions.push_back(
      AnswerFailure{failure, request.possible_runs == 0, retry_after});
}

// Tells whether the request may be sent once more after an attempt with this
// result.
bool MayRetry(const Request& request,
              AttemptResult result,
              base::TimePoint now) {
  if (request.arrival.deadline - now < kMinRetryTime)
    return false;
  if (IsNotSent(result))
    return request.unreachable < kMaxUnreachable;
  if (request.sends >= request.arrival.max_attempts)
    return false;
  if (result == AttemptResult::kNotRun || result == AttemptResult::kMisdirected)
    return true;
  return request.arrival.work.repeatable;
}

void EndAttempt(Request& request,
                Outcome outcome,
                const AttemptEnd* end,
                base::TimePoint now,
                Actions& actions) {
  const Attempt& attempt = *request.attempt;
  dispatch::Report report;
  report.attempt = attempt.id;
  report.upstream = attempt.upstream;
  report.outcome = outcome;
  report.duration = end ? end->duration : now - attempt.started_at;
  if (end) {
    report.has_load = end->has_load;
    report.load = end->load;
  }
  actions.push_back(SendReport{attempt.dispatcher, report});
  if (outcome != Outcome::kServed)
    request.avoid.push_back(attempt.upstream);
  request.possible_runs += MayHaveRun(outcome) ? 1 : 0;
  request.attempt.reset();
}

void WithdrawAsk(const Request& request, Actions& actions) {
  actions.push_back(
      SendWithdrawal{request.asked_of, dispatch::Withdrawal{request.asked}});
}

bool IsAsking(const Request& request) {
  return request.phase == Phase::kAsking || request.phase == Phase::kWaiting ||
         request.phase == Phase::kRunningAndAsking;
}

void OnDeadline(Request& request, base::TimePoint now, Actions& actions) {
  if (IsAsking(request))
    WithdrawAsk(request, actions);
  if (request.attempt) {
    actions.push_back(CancelAttempt{});
    EndAttempt(request, Outcome::kStalled, nullptr, now, actions);
    Fail(request, Failure::kTimeout, base::Duration(0), actions);
    return;
  }
  Fail(request, request.sends > 0 ? Failure::kTimeout : Failure::kExpired,
       kDefaultRetryAfter, actions);
}

// Requests another upstream when the present one takes too long. A
// non-repeatable request continues to wait for its response.
void OnStall(Request& request,
             const Context& context,
             base::TimePoint now,
             Actions& actions) {
  request.stall_handled = true;
  const bool time_left = request.arrival.deadline - now >= kMinRetryTime;
  if (!request.arrival.work.repeatable || !time_left ||
      request.sends >= request.arrival.max_attempts)
    return;
  request.avoid.push_back(request.attempt->upstream);
  AskAnew(request, true, nullptr, context, now, actions);
}

void OnUnanswered(Request& request,
                  const Context& context,
                  base::TimePoint now,
                  Actions& actions) {
  ++request.unanswered_asks;
  if (request.unanswered_asks < kMaxUnanswered) {
    AskAgain(request, context, now, actions);
    return;
  }
  actions.push_back(SuspectDispatcher{request.asked_of});
  // The dispatcher that does not reply may still have granted the attempt. A
  // new attempt id keeps its late reply from being taken for the reply of the
  // next dispatcher.
  WithdrawAsk(request, actions);
  const base::DaemonId silent = request.asked_of;
  AskAnew(request, request.asked_as_retry, &silent, context, now, actions);
}

}  // namespace

Actions Begin(Request& request,
              const Arrival& arrival,
              const Context& context,
              base::TimePoint now) {
  Actions actions;
  request.arrival = arrival;
  request.arrived_at = now;
  request.shard =
      fleet::ChooseShard(arrival.shards, arrival.fingerprint.value, nullptr);
  AskAnew(request, false, nullptr, context, now, actions);
  return actions;
}

Actions OnGrant(Request& request,
                const base::DaemonId& from,
                const dispatch::Grant& grant,
                base::TimePoint now) {
  Actions actions;
  if (!IsAsking(request) || grant.attempt != request.asked) {
    // This reply belongs to a slot request that has already been settled. If
    // the grant is in use, it is the same grant again; otherwise it is reported
    // as unused, so that its slot is freed.
    const bool in_use = request.attempt && request.attempt->id == grant.attempt;
    if (!in_use) {
      dispatch::Report unused;
      unused.attempt = grant.attempt;
      unused.upstream = grant.upstream;
      actions.push_back(SendReport{from, unused});
    }
    return actions;
  }
  if (request.attempt) {
    actions.push_back(CancelAttempt{});
    EndAttempt(request, Outcome::kStalled, nullptr, now, actions);
  }
  request.phase = Phase::kRunning;
  request.stall_handled = false;
  Attempt attempt;
  attempt.id = grant.attempt;
  attempt.dispatcher = from;
  attempt.upstream = grant.upstream;
  attempt.address = grant.address;
  attempt.started_at = now;
  attempt.waited = grant.waited;
  attempt.retry_at = now + grant.retry_after;
  request.attempt = attempt;
  ++request.sends;
  actions.push_back(StartAttempt{attempt, Left(request.arrival.deadline, now)});
  return actions;
}

Actions OnWaiting(Request& request,
                  const dispatch::Waiting& waiting,
                  base::TimePoint now) {
  if (!IsAsking(request) || waiting.attempt != request.asked)
    return {};
  request.unanswered_asks = 0;
  request.ask_again_at = now + kWaitingInterval;
  if (request.phase == Phase::kAsking)
    request.phase = Phase::kWaiting;
  return {};
}

Actions OnRefusal(Request& request,
                  const dispatch::Refusal& refusal,
                  const Context& context,
                  base::TimePoint now) {
  Actions actions;
  if (!IsAsking(request) || refusal.attempt != request.asked)
    return actions;
  if (request.phase == Phase::kRunningAndAsking) {
    // The current attempt may still succeed.
    request.phase = Phase::kRunning;
    return actions;
  }
  const bool try_next = refusal.reason == RefusalReason::kNotReady &&
                        request.refusals_not_ready < kMaxNotReady;
  if (try_next) {
    ++request.refusals_not_ready;
    actions.push_back(SuspectDispatcher{request.asked_of});
    const base::DaemonId passed = request.asked_of;
    AskAnew(request, request.asked_as_retry, &passed, context, now, actions);
    return actions;
  }
  if (IsFull(refusal.reason) && request.full_shards < kMaxFullShards &&
      ShardCount(request) > 1) {
    ++request.full_shards;
    const std::uint32_t full = request.shard;
    request.shard = fleet::ChooseShard(
        request.arrival.shards, request.arrival.fingerprint.value, &full);
    AskAnew(request, request.asked_as_retry, nullptr, context, now, actions);
    return actions;
  }
  Fail(request, FailureOf(refusal.reason), refusal.retry_after, actions);
  return actions;
}

Actions OnAttemptEnd(Request& request,
                     const AttemptEnd& end,
                     const Context& context,
                     base::TimePoint now) {
  Actions actions;
  if (!request.attempt)
    return actions;
  const bool was_asking = request.phase == Phase::kRunningAndAsking;
  const bool not_sent = IsNotSent(end.result);
  EndAttempt(request, OutcomeOf(end.result), &end, now, actions);
  if (not_sent) {
    --request.sends;
    ++request.unreachable;
  }
  if (end.result == AttemptResult::kAnswered) {
    if (was_asking)
      WithdrawAsk(request, actions);
    request.phase = Phase::kEnded;
    actions.push_back(DeliverAnswer{});
    return actions;
  }
  request.has_failed_answer |= end.result == AttemptResult::kFailed;
  if (was_asking) {
    request.phase = Phase::kAsking;
    return actions;
  }
  if (MayRetry(request, end.result, now)) {
    AskAnew(request, !not_sent, nullptr, context, now, actions);
    return actions;
  }
  Fail(request, FailureOf(end.result), kDefaultRetryAfter, actions);
  return actions;
}

Actions OnCallerGone(Request& request) {
  Actions actions;
  if (request.phase == Phase::kEnded)
    return actions;
  if (IsAsking(request))
    WithdrawAsk(request, actions);
  if (request.attempt) {
    actions.push_back(CancelAttempt{});
    dispatch::Report report;
    report.attempt = request.attempt->id;
    report.upstream = request.attempt->upstream;
    report.outcome = Outcome::kCancelled;
    actions.push_back(SendReport{request.attempt->dispatcher, report});
    request.attempt.reset();
  }
  request.phase = Phase::kEnded;
  return actions;
}

Actions OnTime(Request& request, const Context& context, base::TimePoint now) {
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
  if (IsAsking(request) && request.ask_again_at <= now)
    OnUnanswered(request, context, now, actions);
  return actions;
}

base::TimePoint NextWake(const Request& request) {
  if (request.phase == Phase::kEnded)
    return base::TimePoint::max();
  base::TimePoint wake = request.arrival.deadline;
  if (request.attempt && !request.stall_handled &&
      request.arrival.work.repeatable)
    wake = std::min(wake, request.attempt->retry_at);
  if (IsAsking(request))
    wake = std::min(wake, request.ask_again_at);
  return wake;
}

}  // namespace poplarfork::request
