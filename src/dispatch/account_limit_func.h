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

// Gives back the token that the slot request has taken, if any. The request
// must not have been granted an upstream.
void GiveBackAccountToken(Dispatcher& dispatcher,
                          const SlotRequest& slot_request);

// Returns the account whose token the slot request takes; empty if it takes
// none.
base::AccountId ChargedAccount(const SlotRequest& slot_request);

// Gives back the token of an attempt whose grant was not used. Keeps it if the
// daemon asks for a slot at another upstream instead, or if the grant was sent
// more than once: a late copy is returned as unused after the first has been
// used.
void GiveBackUnusedToken(Dispatcher& dispatcher,
                         const RunningAttempt& attempt,
                         const AttemptReport& report);

}  // namespace poplarfork::dispatch
