#include <algorithm>
#include <utility>

#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"
#include "claim/claim_result_func.h"
#include "claim/record_func.h"

namespace poplarfork::claim {

namespace {

constexpr int kLeastFailure = 400;
constexpr int kConflict = 409;
constexpr int kGatewayTimeout = 504;

bool Runs(const RunRecord* record, RequestToken token) {
  return record != nullptr && record->phase == RunPhase::kRunning &&
         record->runner == token;
}

Answer AnswerOf(const RunOutcome& outcome, bool not_sent) {
  return {.status = outcome.status,
          .outcome = not_sent ? Outcome::kNotRun : Outcome::kUnknown,
          .reason = outcome.reason,
          .retry_after = not_sent ? kRetrySoon : base::Duration(0)};
}

// Returns a record whose request was not sent to `kOwned`, so that a repeat can
// run it. The record of a minted key is erased, because a missing record means
// the same.
void BackToOwned(ClaimState& state, const RunKey& key, base::TimePoint now) {
  RunRecord* record = FindRecord(state, key);
  record->phase = RunPhase::kOwned;
  record->runner = {};
  if (key.minted)
    EraseRecord(state, key);
  else
    ExpireLater(state, key, now);
}

void FinishNotSent(ClaimState& state,
                   const RunKey& key,
                   const RunOutcome& outcome,
                   base::TimePoint now,
                   Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  const Answer answer = AnswerOf(outcome, true);
  AnswerRequest(state, record->runner, answer, actions);
  AnswerWaiters(state, *record, answer, actions);
  BackToOwned(state, key, now);
}

void FinishUnknown(ClaimState& state,
                   RunRecord& record,
                   const RunOutcome& outcome,
                   Actions& actions) {
  record.outcome = Outcome::kUnknown;
  const Answer answer = AnswerOf(outcome, false);
  if (!record.runner_gone)
    AnswerRequest(state, record.runner, answer, actions);
  AnswerWaiters(state, record, answer, actions);
}

void FinishAnswered(ClaimState& state,
                    RunRecord& record,
                    const RunOutcome& outcome,
                    Actions& actions) {
  record.status = outcome.status;
  record.outcome =
      outcome.status >= kLeastFailure ? Outcome::kFailed : Outcome::kSucceeded;
  const bool small = outcome.response != nullptr;
  const Answer answer{.response = outcome.response,
                      .status = small ? outcome.response->status : kConflict,
                      .outcome = record.outcome,
                      .reason = Reason::kAlreadyRun,
                      .earlier_status = outcome.status};
  AnswerWaiters(state, record, answer, actions);
}

// Ends the run of a request without a key, which has no record.
Actions FinishWithoutKey(ClaimState& state,
                         RequestToken token,
                         const RunOutcome& outcome) {
  Actions actions;
  const bool not_sent = outcome.end == RunEnd::kNotSent;
  if (outcome.end != RunEnd::kAnswered)
    AnswerRequest(state, token, AnswerOf(outcome, not_sent), actions);
  return actions;
}

void RemoveWaiter(RunRecord& record, RequestToken token) {
  std::erase_if(record.waiters, [token](const Waiter& waiter) {
    return waiter.token == token;
  });
}

// Stops a run of which nothing was sent. The next waiting request runs instead.
void StopUnsent(ClaimState& state,
                const RunKey& key,
                base::TimePoint now,
                Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  actions.emplace_back(StopRun{.token = record->runner});
  if (record->waiters.empty()) {
    BackToOwned(state, key, now);
    return;
  }
  const RequestToken next = record->waiters.front().token;
  record->waiters.erase(record->waiters.begin());
  StartRun(*record, next, actions);
}

}  // namespace

void OnRequestSent(ClaimState& state, RequestToken token) {
  RunRecord* record = FindRequest(state, token);
  if (Runs(record, token))
    record->sent = true;
}

Actions OnRunFinished(ClaimState& state,
                      RequestToken token,
                      const RunOutcome& outcome,
                      base::TimePoint now) {
  RunRecord* record = FindRequest(state, token);
  if (record == nullptr)
    return FinishWithoutKey(state, token, outcome);
  Actions actions;
  if (!Runs(record, token))
    return actions;
  const RunKey key = state.requests.at(token);
  if (outcome.end == RunEnd::kNotSent && !record->sent) {
    FinishNotSent(state, key, outcome, now, actions);
    return actions;
  }
  record->phase = RunPhase::kFinished;
  if (outcome.end == RunEnd::kAnswered)
    FinishAnswered(state, *record, outcome, actions);
  else
    FinishUnknown(state, *record, outcome, actions);
  state.requests.erase(token);
  if (outcome.end == RunEnd::kAnswered)
    Retain(state, key, outcome.response, now);
  ExpireLater(state, key, now);
  return actions;
}

Actions OnCallerGone(ClaimState& state,
                     RequestToken token,
                     base::TimePoint now) {
  Actions actions;
  RunRecord* record = FindRequest(state, token);
  if (record == nullptr)
    return actions;
  if (!Runs(record, token)) {
    RemoveWaiter(*record, token);
    state.requests.erase(token);
    return actions;
  }
  if (record->sent) {
    record->runner_gone = true;
    return actions;
  }
  const RunKey key = state.requests.at(token);
  state.requests.erase(token);
  StopUnsent(state, key, now, actions);
  return actions;
}

Actions OnDeadline(ClaimState& state, RequestToken token, base::TimePoint now) {
  Actions actions;
  RunRecord* record = FindRequest(state, token);
  if (record == nullptr || Runs(record, token))
    return actions;
  const auto waiter = std::ranges::find(record->waiters, token, &Waiter::token);
  if (waiter == record->waiters.end())
    return actions;
  const bool claiming = record->phase == RunPhase::kClaiming;
  Answer answer{.status = kGatewayTimeout,
                .outcome = Outcome::kUnknown,
                .reason = Reason::kDeadlineExceeded};
  if (claiming) {
    answer = UndecidedAnswer(state, *record, *waiter, Reason::kDeadlineExceeded,
                             now);
  }
  RemoveWaiter(*record, token);
  AnswerRequest(state, token, std::move(answer), actions);
  return actions;
}

}  // namespace poplarfork::claim
