#include "claim/record_func.h"

#include <utility>
#include <vector>

#include "claim/claim_limits_type.h"

namespace poplarfork::claim {

namespace {

std::size_t SizeOf(const RetainedResponse& response) {
  return response.head.size() + response.body.size();
}

void DropResponse(ClaimState& state, const RunKey& key) {
  RunRecord* record = FindRecord(state, key);
  if (record == nullptr || !record->response)
    return;
  state.retained_bytes -= SizeOf(*record->response);
  record->response.reset();
}

// Returns whether neither a claim nor a run of the record is in progress.
bool AtRest(const RunRecord& record) {
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
  if (record != nullptr && AtRest(*record))
    EraseRecord(state, key);
}

}  // namespace

RunRecord* FindRecord(ClaimState& state, const RunKey& key) {
  const auto found = state.runs.find(key);
  return found == state.runs.end() ? nullptr : &found->second;
}

RunRecord* FindRequest(ClaimState& state, RequestToken token) {
  const auto found = state.requests.find(token);
  return found == state.requests.end() ? nullptr
                                       : FindRecord(state, found->second);
}

bool MakeRoom(ClaimState& state) {
  while (state.runs.size() >= kMaxRecords && !state.supplied_expiries.empty())
    PopExpiry(state, state.supplied_expiries);
  return state.runs.size() < kMaxRecords;
}

void EraseRecord(ClaimState& state, const RunKey& key) {
  DropResponse(state, key);
  state.runs.erase(key);
}

void Retain(ClaimState& state,
            const RunKey& key,
            std::shared_ptr<const RetainedResponse> response,
            base::TimePoint now) {
  RunRecord* record = FindRecord(state, key);
  if (record == nullptr || !response || SizeOf(*response) > kMaxRetainedBytes)
    return;
  state.retained_bytes += SizeOf(*response);
  record->response = std::move(response);
  state.retained_expiries.push_back({.key = key, .at = now + kRetention});
  while (state.retained_bytes > kMaxRetainedTotal) {
    DropResponse(state, state.retained_expiries.front().key);
    state.retained_expiries.pop_front();
  }
}

void ExpireLater(ClaimState& state, const RunKey& key, base::TimePoint now) {
  if (key.minted)
    state.minted_expiries.push_back(
        {.key = key, .at = now + kMintedRecordLife});
  else
    state.supplied_expiries.push_back(
        {.key = key, .at = now + kSuppliedRecordLife});
}

void DropExpired(ClaimState& state, base::TimePoint now) {
  while (!state.retained_expiries.empty() &&
         state.retained_expiries.front().at <= now) {
    DropResponse(state, state.retained_expiries.front().key);
    state.retained_expiries.pop_front();
  }
  for (auto* expiries : {&state.minted_expiries, &state.supplied_expiries}) {
    while (!expiries->empty() && expiries->front().at <= now)
      PopExpiry(state, *expiries);
  }
}

void AnswerRequest(ClaimState& state,
                   RequestToken token,
                   Answer answer,
                   Actions& actions) {
  state.requests.erase(token);
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
  record.runner = token;
  record.runner_gone = false;
  record.sent = false;
  actions.emplace_back(RunNow{.token = token});
}

}  // namespace poplarfork::claim
