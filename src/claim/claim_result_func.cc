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
  return {.daemon = state.minter.self,
          .incarnation = state.minter.incarnation,
          .attempt = record.attempt};
}

ClaimMessage OwnClaim(const ClaimState& state,
                      const RunKey& key,
                      const RunRecord& record) {
  const ClaimEntry entry{.key = key, .claimant = OwnClaimant(state, record)};
  return {.shard = record.shard, .entry = entry};
}

// Drops the record of a key that is owned by another daemon or by a claim that
// this daemon has forgotten, and relays or answers the requests that wait for
// the key.
void PassOn(ClaimState& state,
            const RunKey& key,
            const Claimant& owner,
            Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  const std::vector<Waiter> waiters = std::exchange(record->waiters, {});
  std::erase(state.claiming, key);
  EraseRecord(state, key);
  for (const Waiter& waiter : waiters) {
    state.requests.erase(waiter.token);
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
  record->own_append = false;
  state.claiming.push_back(key);
  const base::DaemonId collector = CollectorOf(state, record->shard);
  if (collector == state.minter.self) {
    AppendOwn(state, key, now, actions);
    return;
  }
  actions.emplace_back(
      SendClaim{.to = collector, .message = OwnClaim(state, key, *record)});
}

void AppendOwn(ClaimState& state,
               const RunKey& key,
               base::TimePoint now,
               Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  record->own_append = true;
  SubmitClaim(state, OwnClaim(state, key, *record), now, actions);
}

void AbandonClaim(ClaimState& state,
                  const RunKey& key,
                  Reason reason,
                  base::TimePoint now,
                  Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  record->phase = RunPhase::kAbandoned;
  std::erase(state.claiming, key);
  const std::vector<Waiter> waiters = std::exchange(record->waiters, {});
  for (const Waiter& waiter : waiters) {
    Answer answer = UndecidedAnswer(state, *record, waiter, reason, now);
    AnswerRequest(state, waiter.token, std::move(answer), actions);
  }
  ExpireLater(state, key, now);
}

void GrantClaim(ClaimState& state,
                const RunKey& key,
                base::TimePoint now,
                Actions& actions) {
  RunRecord* record = FindRecord(state, key);
  std::erase(state.claiming, key);
  record->phase = RunPhase::kOwned;
  if (!record->replacement.empty())
    AnswerWaiters(state, *record, ReplacedAnswer(state, *record, now), actions);
  if (record->waiters.empty()) {
    ExpireLater(state, key, now);
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
  const RunKey& key = result.entry.key;
  RunRecord* record = FindRecord(state, key);
  if (record == nullptr || result.entry.claimant != OwnClaimant(state, *record))
    return;
  const bool claiming = record->phase == RunPhase::kClaiming;
  if (!claiming && record->phase != RunPhase::kAbandoned)
    return;
  if (result.verdict == ClaimVerdict::kOwned) {
    if (result.owner == result.entry.claimant)
      GrantClaim(state, key, now, actions);
    else
      PassOn(state, key, result.owner, actions);
    return;
  }
  if (!claiming)
    return;
  if (result.verdict == ClaimVerdict::kInDoubt)
    AbandonClaim(state, key, Reason::kClaimInDoubt, now, actions);
  else if (record->own_append)
    AbandonClaim(state, key, Reason::kStoreUnavailable, now, actions);
  else
    AppendOwn(state, key, now, actions);
}

Answer UndecidedAnswer(ClaimState& state,
                       RunRecord& record,
                       const Waiter& waiter,
                       Reason reason,
                       base::TimePoint now) {
  if (!waiter.first_send || record.sends > 1) {
    return {.status = kBadGateway,
            .outcome = Outcome::kUnknown,
            .reason = reason,
            .retry_after = kRetryLater};
  }
  if (record.replacement.empty())
    record.replacement = MintKey(state.minter, record.account, now);
  return {.status = kServiceUnavailable,
          .outcome = Outcome::kNotRun,
          .reason = reason,
          .minted_key = record.replacement};
}

Answer ReplacedAnswer(const ClaimState& state,
                      const RunRecord& record,
                      base::TimePoint now) {
  const auto key = ParseMintedKey(record.replacement);
  const bool usable = key.has_value() &&
                      KeyAge(state.minter, key.value(), now) < kMintedKeyLife;
  if (usable) {
    return {.status = kServiceUnavailable,
            .outcome = Outcome::kNotRun,
            .reason = Reason::kReplaced,
            .minted_key = record.replacement};
  }
  // The replacement key has expired, and the work may have run under it.
  return {.status = kConflict,
          .outcome = Outcome::kUnknown,
          .reason = Reason::kReplaced};
}

Actions OnClaimResult(ClaimState& state,
                      const ClaimResult& result,
                      base::TimePoint now) {
  Actions actions;
  ApplyClaimResult(state, result, now, actions);
  return actions;
}

}  // namespace poplarfork::claim
