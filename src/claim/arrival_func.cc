#include <utility>

#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"
#include "claim/claim_result_func.h"
#include "claim/minted_key_func.h"
#include "claim/record_func.h"
#include "claim/relay_func.h"
#include "claim/supplied_key_func.h"

namespace poplarfork::claim {

namespace {

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kPreconditionRequired = 428;
constexpr int kServiceUnavailable = 503;

Answer NotRunAnswer(int status, Reason reason) {
  return {.status = status, .outcome = Outcome::kNotRun, .reason = reason};
}

Answer NewKeyAnswer(ClaimState& state,
                    const ArrivedRequest& request,
                    Reason reason,
                    base::TimePoint now) {
  Answer answer = NotRunAnswer(kPreconditionRequired, reason);
  answer.minted_key = MintKey(state.key_generator, request.account, now);
  return answer;
}

Answer EarlierRunAnswer(const RunRecord& record) {
  if (record.response) {
    return {.response = record.response,
            .status = record.response->status,
            .outcome = record.outcome,
            .reason = Reason::kAlreadyRun,
            .earlier_status = record.status};
  }
  return {.status = kConflict,
          .outcome = record.outcome,
          .reason = Reason::kAlreadyRun,
          .earlier_status = record.status};
}

void AddWaiter(ClaimState& state,
               const RunKey& key,
               RunRecord& record,
               const ArrivedRequest& request) {
  record.waiters.push_back(
      {.token = request.token, .first_send = request.first_send});
  state.request_keys[request.token] = key;
}

// Returns whether the request proves that this incarnation owns the key of
// `record`. Another daemon relays a request only after it has read in the log
// which claim of the key is the first, and it states the attempt of that claim.
bool ProvesOwnership(const ArrivedRequest& request, const RunRecord& record) {
  return request.relay_info && request.relay_info->attempt == record.attempt;
}

void WaitForClaim(ClaimState& state,
                  const RunKey& key,
                  const ArrivedRequest& request,
                  base::TimePoint now,
                  Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  const bool claiming = record->phase == RunPhase::kClaiming;
  const Waiter waiter{.token = request.token, .first_send = request.first_send};
  const bool proven = ProvesOwnership(request, *record);
  if (!proven && !claiming && !state.store_reachable) {
    AnswerRequest(state, request.token,
                  ClaimFailedAnswer(state, *record, waiter,
                                    Reason::kStoreUnavailable, now),
                  actions);
    return;
  }
  AddWaiter(state, key, *record, request);
  if (proven)
    GrantClaim(state, key, now, actions);
  else if (!claiming)
    StartClaim(state, key, now, actions);
}

// Handles a request whose key has a record.
void HandleKnownKey(ClaimState& state,
                    const RunKey& key,
                    const ArrivedRequest& request,
                    base::TimePoint now,
                    Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  ++record->request_count;
  if (record->waiters.size() >= kMaxWaitersPerKey) {
    AnswerRequest(state, request.token,
                  {.status = kConflict,
                   .outcome = Outcome::kUnknown,
                   .reason = Reason::kTooManyKeys,
                   .retry_after = kShortRetryAfter},
                  actions);
    return;
  }
  switch (record->phase) {
    case RunPhase::kClaiming:
    case RunPhase::kAbandoned:
      WaitForClaim(state, key, request, now, actions);
      return;
    case RunPhase::kOwned:
      if (!record->replacement_key.empty()) {
        AnswerRequest(state, request.token,
                      ReplacedKeyAnswer(state, *record, now), actions);
        return;
      }
      state.request_keys[request.token] = key;
      StartRun(*record, request.token, actions);
      return;
    case RunPhase::kRunning:
      AddWaiter(state, key, *record, request);
      return;
    case RunPhase::kFinished:
      AnswerRequest(state, request.token, EarlierRunAnswer(*record), actions);
      return;
  }
}

void HandleMintedKey(ClaimState& state,
                     const ArrivedRequest& request,
                     base::TimePoint now,
                     Actions& actions) {
  const auto parsed = ParseMintedKey(request.key);
  if (!parsed.has_value()) {
    AnswerRequest(state, request.token,
                  NotRunAnswer(kBadRequest, Reason::kBadKey), actions);
    return;
  }
  const MintedKey& minted = parsed.value();
  const KeyGenerator& key_generator = state.key_generator;
  if (minted.daemon != key_generator.self ||
      minted.incarnation != key_generator.incarnation) {
    const Claimant owner{.daemon = minted.daemon,
                         .incarnation = minted.incarnation};
    if (request.relay_info)
      AnswerRequest(state, request.token, OwnerGoneAnswer(true), actions);
    else
      actions.push_back(RelayOrAnswer(state, request.token, owner, true));
    return;
  }
  if (!VerifyMintedKey(key_generator, minted, request.account)) {
    AnswerRequest(state, request.token,
                  NotRunAnswer(kBadRequest, Reason::kBadKey), actions);
    return;
  }
  const RunKey key{.low = minted.counter, .minted = true};
  if (FindRecord(state, key) != nullptr) {
    HandleKnownKey(state, key, request, now, actions);
    return;
  }
  const base::Duration age = KeyAge(key_generator, minted, now);
  if (age >= kMintedRecordLifetime) {
    const Answer answer{.status = kConflict,
                        .outcome = Outcome::kUnknown,
                        .reason = Reason::kKeyExpired};
    AnswerRequest(state, request.token, answer, actions);
    return;
  }
  if (age >= kMintedKeyLifetime) {
    AnswerRequest(state, request.token,
                  NewKeyAnswer(state, request, Reason::kKeyExpired, now),
                  actions);
    return;
  }
  if (!MakeRoomForRecord(state)) {
    AnswerRequest(state, request.token,
                  NotRunAnswer(kServiceUnavailable, Reason::kTooManyKeys),
                  actions);
    return;
  }
  state.records[key] =
      RunRecord{.phase = RunPhase::kOwned, .account = request.account};
  HandleKnownKey(state, key, request, now, actions);
}

RunRecord NewSuppliedRecord(ClaimState& state, const ArrivedRequest& request) {
  return {.phase = RunPhase::kAbandoned,
          .shard = ShardOf(request.account, request.key),
          .account = request.account,
          .attempt = ++state.last_attempt};
}

// Handles a request with a caller-supplied key that has no record.
void HandleNewSuppliedKey(ClaimState& state,
                          const RunKey& key,
                          const ArrivedRequest& request,
                          base::TimePoint now,
                          Actions& actions) {
  const Waiter waiter{.token = request.token, .first_send = request.first_send};
  if (!MakeRoomForRecord(state)) {
    RunRecord record{.account = request.account, .request_count = 1};
    AnswerRequest(
        state, request.token,
        ClaimFailedAnswer(state, record, waiter, Reason::kTooManyKeys, now),
        actions);
    return;
  }
  state.records[key] = NewSuppliedRecord(state, request);
  HandleKnownKey(state, key, request, now, actions);
  if (!state.store_reachable)
    ScheduleExpiry(state, key, now);
}

void HandleSuppliedKey(ClaimState& state,
                       const ArrivedRequest& request,
                       base::TimePoint now,
                       Actions& actions) {
  const RunKey key = SuppliedRunKey(request.account, request.key);
  RunRecord* record = FindRecord(state, key);
  if (request.relay_info) {
    const bool names_record =
        request.relay_info->incarnation == state.key_generator.incarnation &&
        record != nullptr && ProvesOwnership(request, *record);
    if (!names_record) {
      AnswerRequest(state, request.token, OwnerGoneAnswer(false), actions);
      return;
    }
  }
  if (record != nullptr)
    HandleKnownKey(state, key, request, now, actions);
  else
    HandleNewSuppliedKey(state, key, request, now, actions);
}

void HandleWithoutKey(ClaimState& state,
                      const ArrivedRequest& request,
                      base::TimePoint now,
                      Actions& actions) {
  if (request.require_key) {
    AnswerRequest(state, request.token,
                  NewKeyAnswer(state, request, Reason::kKeyRequired, now),
                  actions);
    return;
  }
  actions.emplace_back(RunNow{.token = request.token});
}

bool IsWaiting(ClaimState& state, RequestToken token) {
  const RunRecord* record = FindRecordOfRequest(state, token);
  return record != nullptr && !(record->phase == RunPhase::kRunning &&
                                record->running_request == token);
}

}  // namespace

Actions OnRequestArrived(ClaimState& state,
                         const ArrivedRequest& request,
                         base::TimePoint now) {
  Actions actions;
  if (request.key.empty())
    HandleWithoutKey(state, request, now, actions);
  else if (HasMintedKeyPrefix(request.key))
    HandleMintedKey(state, request, now, actions);
  else
    HandleSuppliedKey(state, request, now, actions);
  if (IsWaiting(state, request.token))
    actions.emplace_back(Wait{.token = request.token});
  return actions;
}

}  // namespace poplarfork::claim
