#pragma once

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Starts to drain. This daemon is first removed from the addresses that callers
// get. It then serves the requests in progress and new requests of callers that
// still use its address. The loop stops when the daemon is idle, and at the
// latest shortly before the grace time ends.
void StartDrain(Gateway& gateway);

// Returns whether a new request whose caller waits until `deadline` is
// accepted: it can be finished before the process ends, or the drain has just
// begun.
bool CanFinishRequest(const Gateway& gateway, base::TimePoint deadline);

// Returns when a request is answered at the latest, so that the response has
// left before the process ends; the end of time unless this daemon drains.
base::TimePoint LatestResponseAt(const Gateway& gateway);

}  // namespace poplarfork::gateway
