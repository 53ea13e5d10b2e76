#include "claim/claim_func.h"

#include <utility>

#include "claim/claim_limits_type.h"
#include "claim/claim_log_func.h"
#include "claim/claim_result_func.h"
#include "claim/minted_key_func.h"
#include "claim/record_func.h"

namespace poplarfork::claim {

namespace {

// Appends a claim directly to the log when the collecting daemon has not
// answered in time, and abandons the claim when a later timeout passes.
void CheckClaim(ClaimState& state,
                const RunKey& key,
                base::TimePoint now,
                Actions& actions) {
  const RunRecord* record = FindRecord(state, key);
  if (record == nullptr || record->phase != RunPhase::kClaiming)
    return;
  const base::Duration age = now - record->claimed_at;
  if (age >= kClaimTimeout)
    AbandonClaim(state, key, Reason::kClaimTimeout, now, actions);
  else if (age >= kCollectorTimeout && !record->own_append)
    AppendOwn(state, key, now, actions);
}

}  // namespace

ClaimState NewClaimState(const base::DaemonId& self,
                         base::Incarnation incarnation,
                         const MintSecret& secret,
                         base::TimePoint now) {
  ClaimState state;
  state.minter = {.secret = secret,
                  .self = self,
                  .incarnation = incarnation,
                  .started = now};
  state.live = {{.id = self, .incarnation = incarnation}};
  return state;
}

std::string MintKeyFor(ClaimState& state,
                       const base::AccountId& account,
                       base::TimePoint now) {
  return MintKey(state.minter, account, now);
}

void OnMembers(ClaimState& state, std::vector<LiveDaemon> live) {
  state.live = std::move(live);
}

void OnStoreReachable(ClaimState& state, bool reachable) {
  state.store_reachable = reachable;
}

Actions OnTick(ClaimState& state, base::TimePoint now) {
  Actions actions;
  const std::vector<RunKey> claiming = state.claiming;
  for (const RunKey& key : claiming)
    CheckClaim(state, key, now, actions);
  for (auto& [shard, log] : state.shards)
    PumpShard(state, shard, now, actions);
  DropExpired(state, now);
  return actions;
}

}  // namespace poplarfork::claim
