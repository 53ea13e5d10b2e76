#pragma once

#include "base/rng_type.h"
#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"
#include "dispatch/placement_func.h"

namespace poplarfork::dispatch {

// Returns the refusal of a slot request. `shard_state`, from which the time to
// try again is computed, is null if there is none.
Refusal MakeRefusal(const ShardState* shard_state,
                    const SlotRequest& slot_request,
                    RefusalReason reason,
                    base::Rng& rng);

// Grants the slot of a placement, which must have an upstream.
// `charged_account` is the account whose token the request has taken, empty if
// none; `waited` is the time that it spent in the queue.
void GrantSlot(Dispatcher& dispatcher,
               ShardState& shard_state,
               const Placement& placement,
               const base::DaemonId& daemon,
               const SlotRequest& slot_request,
               const base::AccountId& charged_account,
               base::Duration waited,
               base::TimePoint now,
               Actions& actions);

// Grants free slots to queued requests. A request that may not be sent to the
// upstreams with free slots does not hold up those behind it: it avoids them,
// or its daemon is paused there or has no path to them.
void ServeQueue(Dispatcher& dispatcher,
                ShardState& shard_state,
                base::TimePoint now,
                base::Rng& rng,
                Actions& actions);

// Refuses the request if all upstreams want no requests of its daemon. Returns
// whether it is refused.
bool RefuseIfPaused(const ShardState& shard_state,
                    const base::DaemonId& daemon,
                    const SlotRequest& slot_request,
                    base::TimePoint now,
                    Actions& actions);

// Refuses queued requests that can no longer be completed before their
// deadline.
void RefuseExpiredRequests(Dispatcher& dispatcher,
                           ShardState& shard_state,
                           base::TimePoint now,
                           base::Rng& rng,
                           Actions& actions);

// Removes a request that has been withdrawn from the queue.
void RemoveFromQueue(Dispatcher& dispatcher,
                     const base::DaemonId& daemon,
                     AttemptId attempt_id);

}  // namespace poplarfork::dispatch
