#include "request/slot_request_func.h"

#include <algorithm>

namespace poplarfork::request {

namespace {

// A dispatcher in the same region replies within a few milliseconds. The slot
// request is repeated after this time because datagrams may be lost.
constexpr base::Duration kSlotRequestTimeout = std::chrono::milliseconds(45);
// While a request is queued, the slot request is repeated at this interval to
// detect whether the dispatcher is still alive.
constexpr base::Duration kQueuedRepeatInterval = std::chrono::milliseconds(300);
// Number of slot requests without a reply after which another daemon is asked.
constexpr std::uint32_t kMaxUnansweredSlotRequests = 3;

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
  slot_request.is_hedge = request.slot_request_is_hedge;
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

}  // namespace

std::uint32_t ShardCount(const Request& request) {
  return static_cast<std::uint32_t>(request.arrival.shard_slots.size());
}

base::Duration TimeLeft(base::TimePoint until, base::TimePoint now) {
  return std::max(until - now, base::Duration(0));
}

SlotPurpose LatestPurpose(const Request& request) {
  if (request.slot_request_is_hedge)
    return SlotPurpose::kHedge;
  return request.slot_request_is_retry ? SlotPurpose::kRetry
                                       : SlotPurpose::kFirst;
}

void StartSlotRequest(Request& request,
                      SlotPurpose purpose,
                      const base::DaemonId* silent_dispatcher,
                      const Context& context,
                      base::TimePoint now,
                      Actions& actions) {
  request.phase = request.attempts.empty() ? Phase::kRequestingSlot
                                           : Phase::kRunningAndRequestingSlot;
  request.slot_request_id = context.make_attempt_id();
  request.asked_dispatcher =
      context.find_dispatcher({request.arrival.work_class.service,
                               request.shard_index, ShardCount(request)},
                              silent_dispatcher);
  request.slot_request_is_retry = purpose != SlotPurpose::kFirst;
  request.slot_request_is_hedge = purpose == SlotPurpose::kHedge;
  request.unanswered_slot_requests = 0;
  ++request.slot_requests;
  RepeatSlotRequest(request, context, now, actions);
}

bool HasOpenSlotRequest(const Request& request) {
  return request.phase == Phase::kRequestingSlot ||
         request.phase == Phase::kQueued ||
         request.phase == Phase::kRunningAndRequestingSlot;
}

bool IsOpenHedge(const Request& request, dispatch::AttemptId id) {
  return HasOpenSlotRequest(request) && request.slot_request_is_hedge &&
         request.slot_request_id == id;
}

void WithdrawSlotRequest(const Request& request, Actions& actions) {
  actions.push_back(SendWithdrawal{
      request.asked_dispatcher, dispatch::Withdrawal{request.slot_request_id}});
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
  SlotPurpose purpose = LatestPurpose(request);
  // The first attempt may have failed while a hedge was requested.
  if (purpose == SlotPurpose::kHedge && request.attempts.empty())
    purpose = request.sends > 0 ? SlotPurpose::kRetry : SlotPurpose::kFirst;
  StartSlotRequest(request, purpose, &silent_dispatcher, context, now, actions);
}

}  // namespace poplarfork::request
