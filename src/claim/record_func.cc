#include "claim/record_func.h"

#include <utility>
#include <vector>

#include "claim/claim_limits_type.h"

namespace poplarfork::claim {

namespace {

std::size_t RetainedSize(const RetainedResponse& response) {
  return response.head.size() + response.body.size();
}

void DropResponse(ClaimState& state, const RunKey& key) {
  RunRecord* record = FindRecord(state, key);
  if (record == nullptr || !record->response)
    return;
  state.retained_bytes -= RetainedSize(*record->response);
  record->response.reset();
}

// Returns whether neither a claim nor a run of the record is in progress.
bool IsInactive(const RunRecord& record) {
  return record.phase == RunPhase::kFinished ||
         record.phase == RunPhase::kOwned ||
         record.phase == RunPhase::kAbandoned;
}

// Drops the record of the first expiry if it is inactive. An active record gets
// another expiry when it becomes inactive.
void PopExpiry(ClaimState& state, std::deque<Expiry>& expiries) {
  const RunKey key = expiries.front().key;
  expiries.pop_front();
  const RunRecord* record = FindRecord(state, key);
  if (record != nullptr && IsInactive(*record))
    EraseRecord(state, key);
}

}  // namespace

RunRecord* FindRecord(ClaimState& state, const RunKey& key) {
  const auto found = state.records.find(key);
  return found == state.records.end() ? nullptr : &found->second;
}

RunRecord* FindRecordOfRequest(ClaimState& state, RequestToken token) {
  const auto found = state.request_keys.find(token);
  return found == state.request_keys.end() ? nullptr
                                           : FindRecord(state, found->second);
}

bool MakeRoomForRecord(ClaimState& state) {
  while (state.records.size() >= kMaxRecords &&
         !state.supplied_expiries.empty())
    PopExpiry(state, state.supplied_expiries);
  return state.records.size() < kMaxRecords;
}

void EraseRecord(ClaimState& state, const RunKey& key) {
  DropResponse(state, key);
  state.records.erase(key);
}

void RetainResponse(ClaimState& state,
                    const RunKey& key,
                    std::shared_ptr<const RetainedResponse> response,
                    base::TimePoint now) {
  RunRecord* record = FindRecord(state, key);
  if (record == nullptr || !response ||
      RetainedSize(*response) > kMaxRetainedResponseBytes)
    return;
  state.retained_bytes += RetainedSize(*response);
  record->response = std::move(response);
  state.retained_expiries.push_back(
      {.key = key, .expires_at = now + kResponseRetention});
  while (state.retained_bytes > kMaxRetainedTotalBytes) {
    DropResponse(state, state.retained_expiries.front().key);
    state.retained_expiries.pop_front();
  }
}

void ScheduleExpiry(ClaimState& state, const RunKey& key, base::TimePoint now) {
  if (key.minted)
    state.minted_expiries.push_back(
        {.key = key, .expires_at = now + kMintedRecordLifetime});
  else
    state.supplied_expiries.push_back(
        {.key = key, .expires_at = now + kSuppliedRecordLifetime});
}

void DropExpired(ClaimState& state, base::TimePoint now) {
  while (!state.retained_expiries.empty() &&
         state.retained_expiries.front().expires_at <= now) {
    DropResponse(state, state.retained_expiries.front().key);
    state.retained_expiries.pop_front();
  }
  for (auto* expiries : {&state.minted_expiries, &state.supplied_expiries}) {
    while (!expiries->empty() && expiries->front().expires_at <= now)
      PopExpiry(state, *expiries);
  }
}

void AnswerRequest(ClaimState& state,
                   RequestToken token,
                   Answer answer,
                   Actions& actions) {
  state.request_keys.erase(token);
  actions.emplace_back(
      AnswerCaller{.token = token, .answer = std::move(answer)});
}

void AnswerWaiters(ClaimState& state,
                   RunRecord& record,
                   const Answer& answer,
                   Actions& actions) {
  const std::vector<Waiter> waiters = std::exchange(record.waiters, {});
  for (const Waiter& waiter : waiters)
    AnswerRequest(state, waiter.token, answer, actions);
}

void StartRun(RunRecord& record, RequestToken token, Actions& actions) {
  record.phase = RunPhase::kRunning;
  record.running_request = token;
  record.running_caller_gone = false;
  record.sent = false;
  actions.emplace_back(RunNow{.token = token});
}

}  // namespace poplarfork::claim
