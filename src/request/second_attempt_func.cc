#include "request/second_attempt_func.h"

#include <algorithm>

#include "request/attempt_func.h"
#include "request/slot_request_func.h"

namespace poplarfork::request {

namespace {

// Returns when a hedge is due, or the maximum if none will be.
base::TimePoint HedgeDueAt(const Request& request) {
  return request.phase == Phase::kRunning && !request.hedge_handled &&
                 request.attempts.size() == 1
             ? request.attempts.front().hedge_at
             : base::TimePoint::max();
}

// Returns when a retry is due, or the maximum if none will be unless another
// event occurs.
base::TimePoint RetryDueAt(const Request& request) {
  if (request.phase != Phase::kRunning || request.stall_handled ||
      request.attempts.empty())
    return base::TimePoint::max();
  base::TimePoint due_at = base::TimePoint::min();
  for (const Attempt& attempt : request.attempts)
    due_at = std::max(due_at, attempt.retry_at);
  return due_at;
}

// Tells whether the request may be sent again while an attempt is in progress.
bool MayBeSentAgain(const Request& request, base::TimePoint now) {
  return request.arrival.work_class.repeatable &&
         HasTimeForAttempt(request, now) && MayConnectAgain(request) &&
         request.sends < request.arrival.max_attempts;
}

void AvoidRunningAttempts(Request& request) {
  for (const Attempt& attempt : request.attempts)
    AvoidUpstream(request, attempt.upstream);
}

}  // namespace

void RequestSecondAttempt(Request& request,
                          const Context& context,
                          base::TimePoint now,
                          Actions& actions) {
  SlotPurpose purpose = SlotPurpose::kRetry;
  if (HedgeDueAt(request) <= now && MayBeSentAgain(request, now)) {
    purpose = SlotPurpose::kHedge;
    ++request.hedge_counts.requested;
  } else if (RetryDueAt(request) <= now) {
    request.stall_handled = true;
    request.hedge_handled = true;
    if (!MayBeSentAgain(request, now))
      return;
  } else {
    request.hedge_handled |= HedgeDueAt(request) <= now;
    return;
  }
  request.hedge_handled = true;
  AvoidRunningAttempts(request);
  StartSlotRequest(request, purpose, nullptr, context, now, actions);
}

base::TimePoint NextAttemptTimerAt(const Request& request) {
  base::TimePoint timer_at = std::min(HedgeDueAt(request), RetryDueAt(request));
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.stall_reported)
      timer_at = std::min(timer_at, attempt.retry_at);
  }
  return timer_at;
}

}  // namespace poplarfork::request
