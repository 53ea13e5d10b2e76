#pragma once

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Starts to drain. This daemon is first removed from the addresses that callers
// get. It then serves the requests in progress and new requests of callers that
// still use its address. The loop stops when the daemon is idle, and at the
// latest shortly before the grace time ends.
void StartDrain(Gateway& gateway);

// Returns whether a new request can still be finished before the process ends.
bool CanFinishNewRequests(const Gateway& gateway);

}  // namespace poplarfork::gateway
