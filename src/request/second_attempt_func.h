#pragma once

#include "request/action_type.h"
#include "request/context_type.h"
#include "request/request_type.h"

namespace poplarfork::request {

// Requests a slot for a hedge or for a retry if that is due. The load pattern
// that this handles is single upstreams that hang for seconds while others
// respond as usual. A hedge is due once, at the time that the dispatcher has
// stated, while the first attempt is the only one. A retry is due when all
// attempts in progress have taken longer than their dispatchers have stated.
// Requests that are not repeatable get neither.
void RequestSecondAttempt(Request& request,
                          const Context& context,
                          base::TimePoint now,
                          Actions& actions);

// Returns the time at which ReportStalls() or RequestSecondAttempt() has
// something to do next.
base::TimePoint NextAttemptTimerAt(const Request& request);

}  // namespace poplarfork::request
