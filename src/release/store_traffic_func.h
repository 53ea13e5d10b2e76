#pragma once

#include <vector>

#include "base/rng_type.h"
#include "release/context_type.h"
#include "release/store_answer_type.h"
#include "release/store_traffic_type.h"

namespace poplarfork::release {

// Sends `call` if the token bucket has a token, and queues it otherwise. Sets
// the call's id and, unless it is already set, its timeout. Returns the id.
StoreCallId IssueStoreCall(Context& context,
                           StorePurpose purpose,
                           StoreCall call);

// Sends queued calls in order while the token bucket has tokens.
void SendWaitingCalls(Context& context);

// Removes and returns the calls whose deadline has passed, both those that were
// sent and those that are still queued for lack of a token.
std::vector<PendingCall> TakeOverdueCalls(Context& context);

// Returns true if a call with this purpose is queued or outstanding.
bool IsCalling(const StoreTraffic& traffic, StorePurpose purpose);

// Returns the delay before retry number `attempt`, counted from 0. The delay
// doubles from `initial_delay` up to `max_delay` and is multiplied by a random
// factor between 0.5 and 1, so that daemons do not call at the same time after
// an outage.
base::Duration Backoff(base::Duration first,
                       base::Duration longest,
                       std::uint32_t attempt,
                       base::Rng& rng);

}  // namespace poplarfork::release
