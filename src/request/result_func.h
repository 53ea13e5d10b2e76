#pragma once

#include "dispatch/message_type.h"
#include "request/action_type.h"
#include "request/attempt_end_type.h"

namespace poplarfork::request {

// Returns what the end of an attempt tells the dispatcher about the upstream.
dispatch::Outcome ToOutcome(AttemptResult result);

// Returns why a request fails if its last attempt ended with this result, or if
// it was refused for this reason.
Failure ToFailure(AttemptResult result);
Failure ToFailure(dispatch::RefusalReason reason);

// Tells whether the shard has no upstream with a free slot, while another shard
// may have one.
bool IsShardFull(dispatch::RefusalReason reason);

// Tells whether no byte of the request was sent.
bool IsNotSent(AttemptResult result);

// Tells whether an upstream may have run the request. If so, the caller must
// not be told that it has not run.
bool MayHaveRun(dispatch::Outcome outcome);

}  // namespace poplarfork::request
