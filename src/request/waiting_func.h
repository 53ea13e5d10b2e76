#pragma once

#include "request/action_type.h"
#include "request/request_type.h"

namespace poplarfork::request {

// Returns whether the request waits for its first slot, so that no byte of it
// has been sent to an upstream.
bool IsWaiting(const Request& request);

// Ends a request that is waiting, and withdraws its slot request. The load
// pattern is a queue in which requests wait while the reason to serve them
// ceases, such as the key of their client account.
Actions EndWaiting(Request& request, Failure failure);

}  // namespace poplarfork::request
