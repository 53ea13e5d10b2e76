#pragma once

#include "base/time_type.h"
#include "claim/action_type.h"
#include "claim/claim_message_type.h"
#include "claim/claim_state_type.h"
#include "claim/run_key_type.h"

// Functions for the claim logs in the store. Only the claim core calls them;
// the daemon does not.
namespace poplarfork::claim {

// Returns the daemon that collects the claims of `shard` and appends them in
// batches: the live daemon with the highest rendezvous weight.
base::DaemonId FindCollector(const ClaimState& state, Shard shard);

// Accepts a claim of this daemon or of another one, and appends it as soon as
// the shard's log allows.
void SubmitClaim(ClaimState& state,
                 const ClaimMessage& message,
                 base::TimePoint now,
                 Actions& actions);

// Reads the shard's log or appends a batch to it, if claims are queued and no
// call to the store is in flight for the shard.
void AdvanceShardLog(ClaimState& state,
                     Shard shard,
                     base::TimePoint now,
                     Actions& actions);

}  // namespace poplarfork::claim
