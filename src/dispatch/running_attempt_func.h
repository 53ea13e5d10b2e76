#pragma once

#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"
#include "dispatch/placement_func.h"

namespace poplarfork::dispatch {

// Adds the attempt for which a slot of the placement's upstream is granted, and
// takes the slot. `charged_account` is the account whose token the request has
// taken, empty if none; `waited` is the time that it spent in the queue.
const RunningAttempt& AddRunningAttempt(Dispatcher& dispatcher,
                                        ShardState& shard_state,
                                        const Placement& placement,
                                        const base::DaemonId& daemon,
                                        const SlotRequest& slot_request,
                                        const base::AccountId& charged_account,
                                        base::Duration waited,
                                        base::TimePoint now);

// Frees the slot of an attempt that has ended or is given up.
void ReleaseSlot(ShardState& shard_state, const RunningAttempt& attempt);

// Counts the attempts that have stalled, and removes those that their daemons
// have abandoned or whose reports were lost. The load pattern that this handles
// is gateways that lose power with requests in progress: their attempts must
// neither use slots nor count against the upstreams.
void CheckRunningAttempts(Dispatcher& dispatcher,
                          base::TimePoint now,
                          Actions& actions);

// Returns the probability (0 to 1) that a request whose attempt has failed is
// not served at all.
double UnservedWeight(bool must_succeed);

// Counts a request as probably not served if its attempt has failed in a way
// that has not been counted when the attempt stalled.
void CountLostAttempt(ShardState& shard_state,
                      const RunningAttempt& attempt,
                      Outcome outcome,
                      base::TimePoint now);

}  // namespace poplarfork::dispatch
