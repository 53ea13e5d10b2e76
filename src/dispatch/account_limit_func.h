#pragma once

#include "base/rng_type.h"
#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Takes a token of the rate limit of the request's client account. Only a first
// attempt takes one: retries, hedges and requests that have been granted an
// upstream before have paid already. Without a token, refuses the request and
// returns true.
bool RefuseOverAllowance(Dispatcher& dispatcher,
                         const base::DaemonId& daemon,
                         const SlotRequest& slot_request,
                         base::TimePoint now,
                         base::Rng& rng,
                         Actions& actions);

// Returns the account whose token the slot request takes; empty if it takes
// none, also because its account has no limit at present. The limits may change
// before the request ends, so the result has to be kept to give the token back.
base::AccountId ChargedAccount(const Dispatcher& dispatcher,
                               const SlotRequest& slot_request);

// Gives back the token that a slot request has taken from `charged_account`, if
// any. The request must not have been granted an upstream.
void GiveBackAccountToken(Dispatcher& dispatcher,
                          const base::AccountId& charged_account);

// Gives back the token of an attempt whose grant was not used. Keeps it if the
// daemon asks for a slot at another upstream instead, or if the grant was sent
// more than once: a late copy is returned as unused after the first has been
// used.
void GiveBackUnusedToken(Dispatcher& dispatcher,
                         const RunningAttempt& attempt,
                         const AttemptReport& report);

}  // namespace poplarfork::dispatch
