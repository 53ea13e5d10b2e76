#include "claim/claim_result_func.h"

#include <algorithm>
#include <utility>

#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"
#include "claim/claim_log_func.h"
#include "claim/minted_key_func.h"
#include "claim/record_func.h"
#include "claim/relay_func.h"

namespace poplarfork::claim {

namespace {

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

Claimant OwnClaimant(const ClaimState& state, const RunRecord& record) {
  return {.daemon = state.key_generator.self,
          .incarnation = state.key_generator.incarnation,
          .attempt = record.attempt};
}

ClaimMessage OwnClaimMessage(const ClaimState& state,
                             const RunKey& key,
                             const RunRecord& record) {
  const Claim claim{.key = key, .claimant = OwnClaimant(state, record)};
  return {.shard = record.shard, .claim = claim};
}

// Drops the record of a key that is owned by another daemon or by a claim that
// this daemon has forgotten, and relays or answers the requests that wait for
// the key.
void RelayWaitersToOwner(ClaimState& state,
                         const RunKey& key,
                         const Claimant& owner,
                         Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  const std::vector<Waiter> waiters = std::exchange(record->waiters, {});
  std::erase(state.claiming_keys, key);
  EraseRecord(state, key);
  for (const Waiter& waiter : waiters) {
    state.request_keys.erase(waiter.token);
    actions.push_back(RelayOrAnswer(state, waiter.token, owner, false));
  }
}

}  // namespace

void StartClaim(ClaimState& state,
                const RunKey& key,
                base::TimePoint now,
                Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  record->phase = RunPhase::kClaiming;
  record->claimed_at = now;
  record->direct_append = false;
  state.claiming_keys.push_back(key);
  const base::DaemonId collector = FindCollector(state, record->shard);
  if (collector == state.key_generator.self) {
    AppendClaimDirectly(state, key, now, actions);
    return;
  }
  actions.emplace_back(SendClaim{
      .to = collector, .message = OwnClaimMessage(state, key, *record)});
}

void AppendClaimDirectly(ClaimState& state,
                         const RunKey& key,
                         base::TimePoint now,
                         Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  record->direct_append = true;
  SubmitClaim(state, OwnClaimMessage(state, key, *record), now, actions);
}

void AbandonClaim(ClaimState& state,
                  const RunKey& key,
                  Reason reason,
                  base::TimePoint now,
                  Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  record->phase = RunPhase::kAbandoned;
  std::erase(state.claiming_keys, key);
  const std::vector<Waiter> waiters = std::exchange(record->waiters, {});
  for (const Waiter& waiter : waiters) {
    Answer answer = ClaimFailedAnswer(state, *record, waiter, reason, now);
    AnswerRequest(state, waiter.token, std::move(answer), actions);
  }
  ScheduleExpiry(state, key, now);
}

void GrantClaim(ClaimState& state,
                const RunKey& key,
                base::TimePoint now,
                Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  std::erase(state.claiming_keys, key);
  record->phase = RunPhase::kOwned;
  if (!record->replacement_key.empty())
    AnswerWaiters(state, *record, ReplacedKeyAnswer(state, *record, now),
                  actions);
  if (record->waiters.empty()) {
    ScheduleExpiry(state, key, now);
    return;
  }
  const RequestToken first = record->waiters.front().token;
  record->waiters.erase(record->waiters.begin());
  StartRun(*record, first, actions);
}

void ApplyClaimResult(ClaimState& state,
                      const ClaimResult& result,
                      base::TimePoint now,
                      Actions& actions) {
  const RunKey& key = result.claim.key;
  RunRecord* record = FindRecord(state, key);
  if (record == nullptr || result.claim.claimant != OwnClaimant(state, *record))
    return;
  const bool claiming = record->phase == RunPhase::kClaiming;
  if (!claiming && record->phase != RunPhase::kAbandoned)
    return;
  if (result.verdict == ClaimVerdict::kOwned) {
    if (result.owner == result.claim.claimant)
      GrantClaim(state, key, now, actions);
    else
      RelayWaitersToOwner(state, key, result.owner, actions);
    return;
  }
  if (!claiming)
    return;
  if (result.verdict == ClaimVerdict::kInDoubt)
    AbandonClaim(state, key, Reason::kClaimInDoubt, now, actions);
  else if (record->direct_append)
    AbandonClaim(state, key, Reason::kStoreUnavailable, now, actions);
  else
    AppendClaimDirectly(state, key, now, actions);
}

Answer ClaimFailedAnswer(ClaimState& state,
                         RunRecord& record,
                         const Waiter& waiter,
                         Reason reason,
                         base::TimePoint now) {
  if (!waiter.first_send || record.request_count > 1) {
    return {.status = kBadGateway,
            .outcome = Outcome::kUnknown,
            .reason = reason,
            .retry_after = kLongRetryAfter};
  }
  if (record.replacement_key.empty())
    record.replacement_key = MintKey(state.key_generator, record.account, now);
  return {.status = kServiceUnavailable,
          .outcome = Outcome::kNotRun,
          .reason = reason,
          .minted_key = record.replacement_key};
}

Answer ReplacedKeyAnswer(const ClaimState& state,
                         const RunRecord& record,
                         base::TimePoint now) {
  const auto key = ParseMintedKey(record.replacement_key);
  const bool usable =
      key.has_value() &&
      KeyAge(state.key_generator, key.value(), now) < kMintedKeyLifetime;
  if (usable) {
    return {.status = kServiceUnavailable,
            .outcome = Outcome::kNotRun,
            .reason = Reason::kKeyReplaced,
            .minted_key = record.replacement_key};
  }
  // The replacement key has expired, and the work may have run under it.
  return {.status = kConflict,
          .outcome = Outcome::kUnknown,
          .reason = Reason::kKeyReplaced};
}

Actions OnClaimResult(ClaimState& state,
                      const ClaimResult& result,
                      base::TimePoint now) {
  Actions actions;
  ApplyClaimResult(state, result, now, actions);
  return actions;
}

}  // namespace poplarfork::claim
