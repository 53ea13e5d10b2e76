#pragma once

#include "dispatch/message_type.h"
#include "gateway/gateway_type.h"
#include "request/request_type.h"

namespace poplarfork::gateway {

// Returns how the hedge of a request ended, for the log: "won" if it delivered
// the response, "lost" if it was sent and did not, "not_sent" if it was
// requested only, and "none".
const char* HedgeName(const request::HedgeCounts& counts);

// Counts the hedges of a request that has ended.
void CountHedges(Gateway& gateway, const request::HedgeCounts& counts);

// Counts a hedge that the dispatcher has refused.
void CountRefusedHedge(Gateway& gateway, dispatch::RefusalReason reason);

}  // namespace poplarfork::gateway
