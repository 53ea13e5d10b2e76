#pragma once

#include "claim/action_type.h"
#include "claim/claim_state_type.h"
#include "claim/claimant_type.h"

// Functions for relaying requests to other daemons. Only the claim core calls
// them; the daemon does not.
namespace poplarfork::claim {

// Returns the action for a request that only `owner` may run: a relay if that
// incarnation may be alive, and otherwise an answer with the outcome unknown.
// Requests are relayed only to live daemons, so that a forged key cannot make a
// daemon connect to an address that the caller chooses.
Action RelayOrAnswer(const ClaimState& state,
                     RequestToken token,
                     const Claimant& owner,
                     bool minted);

// Returns the answer to a request whose owner will never run it again, because
// that incarnation has ended or has forgotten the claim.
Answer OwnerGoneAnswer(bool minted);

}  // namespace poplarfork::claim
