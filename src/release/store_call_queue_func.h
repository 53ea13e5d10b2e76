#pragma once

#include <vector>

#include "base/rng_type.h"
#include "release/context_type.h"
#include "release/store_call_queue_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// Sends `call` if the token bucket has a token, and queues it otherwise. Sets
// the call's id and, unless it is already set, its timeout. Returns the id.
StoreCallId IssueStoreCall(Context& context,
                           StoreCallPurpose purpose,
                           StoreCall call);

// Sends queued calls in order while the token bucket has tokens.
void SendQueuedCalls(Context& context);

// Removes and returns the calls whose deadline has passed, both those that were
// sent and those that are still queued for lack of a token.
std::vector<PendingCall> TakeOverdueCalls(Context& context);

// Returns true if a call with this purpose is queued or outstanding.
bool HasPendingCall(const StoreCallQueue& store_calls,
                    StoreCallPurpose purpose);

// Returns the delay before retry number `attempt`, counted from 0. The delay
// doubles from `initial_delay` up to `max_delay` and is multiplied by a random
// factor between 0.5 and 1, so that daemons do not call at the same time after
// an outage.
base::Duration BackoffDelay(base::Duration initial_delay,
                            base::Duration max_delay,
                            std::uint32_t attempt,
                            base::Rng& rng);

}  // namespace poplarfork::release
