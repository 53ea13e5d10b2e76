#pragma once

#include "request/action_type.h"
#include "request/attempt_end_type.h"
#include "request/context_type.h"
#include "request/request_type.h"

namespace poplarfork::request {

// Starts handling a request and sends its first slot request.
Actions BeginRequest(Request& request,
                     const Arrival& arrival,
                     const Context& context,
                     base::TimePoint now);

// Handles the dispatcher's grant of a slot. If it is that of a hedge, the
// attempt in progress goes on; otherwise the attempts in progress, which all
// take too long, are cancelled.
Actions OnGrant(Request& request,
                const base::DaemonId& from,
                const dispatch::Grant& grant,
                base::TimePoint now);

// Handles a grant of a slot at an upstream that has told this daemon that it
// wants no requests. Returns the slot with that notice, and requests another.
Actions OnUnwantedGrant(Request& request,
                        const base::DaemonId& from,
                        const dispatch::Grant& grant,
                        const dispatch::UpstreamNotice& notice,
                        const Context& context,
                        base::TimePoint now);

// Handles the dispatcher's refusal.
Actions OnRefusal(Request& request,
                  const dispatch::Refusal& refusal,
                  const Context& context,
                  base::TimePoint now);

// Handles the end of an attempt at an upstream. While another attempt is in
// progress, a failure ends nothing, and the first valid response ends both.
Actions OnAttemptEnd(Request& request,
                     const AttemptEnd& end,
                     const Context& context,
                     base::TimePoint now);

// Handles the end of the caller's connection.
Actions OnCallerDisconnected(Request& request);

// Performs what is due: repeats a slot request without a reply, requests a slot
// for a hedge or a retry, or ends the request at its deadline.
Actions OnTimer(Request& request, const Context& context, base::TimePoint now);

// Returns the time at which OnTimer() must be called next.
base::TimePoint NextTimerAt(const Request& request);

}  // namespace poplarfork::request
