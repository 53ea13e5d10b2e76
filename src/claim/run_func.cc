#include <algorithm>
#include <utility>

#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"
#include "claim/claim_result_func.h"
#include "claim/record_func.h"

namespace poplarfork::claim {

namespace {

constexpr int kMinFailureStatus = 400;
constexpr int kConflict = 409;
constexpr int kGatewayTimeout = 504;

bool IsRunning(const RunRecord* record, RequestToken token) {
  return record != nullptr && record->phase == RunPhase::kRunning &&
         record->running_request == token;
}

Answer UnansweredRunAnswer(const RunResult& result, bool not_sent) {
  return {.status = result.status,
          .outcome = not_sent ? Outcome::kNotRun : Outcome::kUnknown,
          .reason = result.reason,
          .retry_after = not_sent ? kShortRetryAfter : base::Duration(0)};
}

// Sets the phase of a record back to `kOwned` after its request was not sent,
// so that a repeat can run it. The record of a minted key is erased, because
// for such a key a missing record means the same.
void ReturnToOwned(ClaimState& state, const RunKey& key, base::TimePoint now) {
  RunRecord* record = FindRecord(state, key);
  record->phase = RunPhase::kOwned;
  record->running_request = {};
  if (key.minted)
    EraseRecord(state, key);
  else
    ScheduleExpiry(state, key, now);
}

void FinishNotSent(ClaimState& state,
                   const RunKey& key,
                   const RunResult& result,
                   base::TimePoint now,
                   Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  const Answer answer = UnansweredRunAnswer(result, true);
  AnswerRequest(state, record->running_request, answer, actions);
  AnswerWaiters(state, *record, answer, actions);
  ReturnToOwned(state, key, now);
}

void FinishUnknown(ClaimState& state,
                   RunRecord& record,
                   const RunResult& result,
                   Actions& actions) {
  record.outcome = Outcome::kUnknown;
  const Answer answer = UnansweredRunAnswer(result, false);
  if (!record.running_caller_gone)
    AnswerRequest(state, record.running_request, answer, actions);
  AnswerWaiters(state, record, answer, actions);
}

void FinishAnswered(ClaimState& state,
                    RunRecord& record,
                    const RunResult& result,
                    Actions& actions) {
  record.status = result.status;
  record.outcome = result.status >= kMinFailureStatus ? Outcome::kFailed
                                                      : Outcome::kSucceeded;
  const bool has_response = result.response != nullptr;
  const Answer answer{
      .response = result.response,
      .status = has_response ? result.response->status : kConflict,
      .outcome = record.outcome,
      .reason = Reason::kAlreadyRun,
      .earlier_status = result.status};
  AnswerWaiters(state, record, answer, actions);
}

// Ends the run of a request without a key, which has no record.
Actions FinishWithoutKey(ClaimState& state,
                         RequestToken token,
                         const RunResult& result) {
  Actions actions;
  const bool not_sent = result.end == RunEnd::kNotSent;
  if (result.end != RunEnd::kAnswered)
    AnswerRequest(state, token, UnansweredRunAnswer(result, not_sent), actions);
  return actions;
}

void RemoveWaiter(RunRecord& record, RequestToken token) {
  std::erase_if(record.waiters, [token](const Waiter& waiter) {
    return waiter.token == token;
  });
}

// Stops a run of which nothing was sent. The next waiting request runs instead.
void StopUnsentRun(ClaimState& state,
                   const RunKey& key,
                   base::TimePoint now,
                   Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  actions.emplace_back(StopRun{.token = record->running_request});
  if (record->waiters.empty()) {
    ReturnToOwned(state, key, now);
    return;
  }
  const RequestToken next = record->waiters.front().token;
  record->waiters.erase(record->waiters.begin());
  StartRun(*record, next, actions);
}

}  // namespace

void OnRequestSent(ClaimState& state, RequestToken token) {
  RunRecord* record = FindRecordOfRequest(state, token);
  if (IsRunning(record, token))
    record->sent = true;
}

Actions OnRunFinished(ClaimState& state,
                      RequestToken token,
                      const RunResult& result,
                      base::TimePoint now) {
  RunRecord* record = FindRecordOfRequest(state, token);
  if (record == nullptr)
    return FinishWithoutKey(state, token, result);
  Actions actions;
  if (!IsRunning(record, token))
    return actions;
  const RunKey key = state.request_keys.at(token);
  if (result.end == RunEnd::kNotSent && !record->sent) {
    FinishNotSent(state, key, result, now, actions);
    return actions;
  }
  record->phase = RunPhase::kFinished;
  if (result.end == RunEnd::kAnswered)
    FinishAnswered(state, *record, result, actions);
  else
    FinishUnknown(state, *record, result, actions);
  state.request_keys.erase(token);
  if (result.end == RunEnd::kAnswered)
    RetainResponse(state, key, result.response, now);
  ScheduleExpiry(state, key, now);
  return actions;
}

Actions OnCallerDisconnected(ClaimState& state,
                             RequestToken token,
                             base::TimePoint now) {
  Actions actions;
  RunRecord* record = FindRecordOfRequest(state, token);
  if (record == nullptr)
    return actions;
  if (!IsRunning(record, token)) {
    RemoveWaiter(*record, token);
    state.request_keys.erase(token);
    return actions;
  }
  if (record->sent) {
    record->running_caller_gone = true;
    return actions;
  }
  const RunKey key = state.request_keys.at(token);
  state.request_keys.erase(token);
  StopUnsentRun(state, key, now, actions);
  return actions;
}

Actions OnDeadline(ClaimState& state, RequestToken token, base::TimePoint now) {
  Actions actions;
  RunRecord* record = FindRecordOfRequest(state, token);
  if (record == nullptr || IsRunning(record, token))
    return actions;
  const auto waiter = std::ranges::find(record->waiters, token, &Waiter::token);
  if (waiter == record->waiters.end())
    return actions;
  const bool claiming = record->phase == RunPhase::kClaiming;
  Answer answer{.status = kGatewayTimeout,
                .outcome = Outcome::kUnknown,
                .reason = Reason::kDeadlineExceeded};
  if (claiming) {
    answer = ClaimFailedAnswer(state, *record, *waiter,
                               Reason::kDeadlineExceeded, now);
  }
  RemoveWaiter(*record, token);
  AnswerRequest(state, token, std::move(answer), actions);
  return actions;
}

}  // namespace poplarfork::claim
