#pragma once

#include "base/time_type.h"
#include "claim/action_type.h"
#include "claim/answer_type.h"
#include "claim/claim_message_type.h"
#include "claim/claim_state_type.h"
#include "claim/run_record_type.h"

// Functions for the claims that this daemon makes. Only the claim core calls
// them; the daemon does not.
namespace poplarfork::claim {

// Claims the key of a record: through the collecting daemon, or directly if
// this daemon is the collecting one.
void StartClaim(ClaimState& state,
                const RunKey& key,
                base::TimePoint now,
                Actions& actions);

// Appends the claim of a record to the log without the collecting daemon.
void AppendClaimDirectly(ClaimState& state,
                         const RunKey& key,
                         base::TimePoint now,
                         Actions& actions);

// Ends a claim for which no owner was found, because its result did not arrive
// in time or was another than `kOwned`, and answers all requests that wait for
// it.
void AbandonClaim(ClaimState& state,
                  const RunKey& key,
                  Reason reason,
                  base::TimePoint now,
                  Actions& actions);

// Marks the record as owned, because the log proves that its claim is the first
// one of the key, and runs the first waiting request. If the key was replaced,
// all waiting requests are answered instead.
void GrantClaim(ClaimState& state,
                const RunKey& key,
                base::TimePoint now,
                Actions& actions);

// Applies the result of a claim that this daemon made. Results of claims that
// it has forgotten and repeated results are ignored.
void ApplyClaimResult(ClaimState& state,
                      const ClaimResult& result,
                      base::TimePoint now,
                      Actions& actions);

// Returns the answer to a request whose key could not be claimed. It is "not
// run" only if the caller states that the request is its only send and no other
// send has arrived here; otherwise another daemon may have run another send.
// An answer "not run" contains a minted key that replaces the key of the
// request.
Answer ClaimFailedAnswer(ClaimState& state,
                         RunRecord& record,
                         const Waiter& waiter,
                         Reason reason,
                         base::TimePoint now);

// Returns the answer to a request whose key was replaced by a minted key.
Answer ReplacedKeyAnswer(const ClaimState& state,
                         const RunRecord& record,
                         base::TimePoint now);

}  // namespace poplarfork::claim
