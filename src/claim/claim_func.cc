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
void CheckClaimTimeouts(ClaimState& state,
                        const RunKey& key,
                        base::TimePoint now,
                        Actions& actions) {
  const RunRecord* record = FindRecord(state, key);
  if (record == nullptr || record->phase != RunPhase::kClaiming)
    return;
  const base::Duration age = now - record->claimed_at;
  if (age >= kClaimTimeout)
    AbandonClaim(state, key, Reason::kClaimTimeout, now, actions);
  else if (age >= kCollectorTimeout && !record->direct_append)
    AppendClaimDirectly(state, key, now, actions);
}

}  // namespace

ClaimState NewClaimState(const base::DaemonId& self,
                         base::Incarnation incarnation,
                         const MintSecret& secret,
                         base::TimePoint now) {
  ClaimState state;
  state.key_generator = {.secret = secret,
                         .self = self,
                         .incarnation = incarnation,
                         .started_at = now};
  state.live_daemons = {{.id = self, .incarnation = incarnation}};
  return state;
}

std::string MintKeyFor(ClaimState& state,
                       const base::AccountId& account,
                       base::TimePoint now) {
  return MintKey(state.key_generator, account, now);
}

void OnLiveDaemonsChanged(ClaimState& state,
                          std::vector<LiveDaemon> live_daemons) {
  state.live_daemons = std::move(live_daemons);
}

void OnStoreReachabilityChanged(ClaimState& state, bool reachable) {
  state.store_reachable = reachable;
}

Actions OnTick(ClaimState& state, base::TimePoint now) {
  Actions actions;
  const std::vector<RunKey> claiming_keys = state.claiming_keys;
  for (const RunKey& key : claiming_keys)
    CheckClaimTimeouts(state, key, now, actions);
  for (auto& [shard, log] : state.shards)
    AdvanceShardLog(state, shard, now, actions);
  DropExpired(state, now);
  return actions;
}

}  // namespace poplarfork::claim
