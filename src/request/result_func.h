#pragma once

#include "dispatch/message_type.h"
#include "request/action_type.h"
#include "request/attempt_end_type.h"

namespace poplarfork::request {

// What the end of an attempt tells the dispatcher of the upstream.
dispatch::Outcome OutcomeOf(AttemptResult result);

// Why a request fails if its last attempt ended so, or if it was refused so.
Failure FailureOf(AttemptResult result);
Failure FailureOf(dispatch::RefusalReason reason);

// Tells whether another shard may have room.
bool IsFull(dispatch::RefusalReason reason);

// Tells whether not a byte of the request was sent.
bool IsNotSent(AttemptResult result);

// Tells whether an upstream may have run the request; "not run" is then false.
bool MayHaveRun(dispatch::Outcome outcome);

}  // namespace poplarfork::request
