#pragma once

#include <functional>

#include "request/action_type.h"
#include "request/attempt_end_type.h"
#include "request/request_type.h"

namespace poplarfork::request {

// The parts of the daemon's state that a request depends on.
struct Context {
  base::DataCentreId data_centre;
  // Returns the daemon that dispatches for a shard of a service.
  // `silent_dispatcher`, if not null, has just failed to reply and is not
  // returned.
  std::function<base::DaemonId(const fleet::Shard&,
                               const base::DaemonId* silent_dispatcher)>
      find_dispatcher;
  // Returns a new attempt id.
  std::function<dispatch::AttemptId()> make_attempt_id;
};

// Starts handling a request and sends its first slot request.
Actions BeginRequest(Request& request,
                     const Arrival& arrival,
                     const Context& context,
                     base::TimePoint now);

// Handles the dispatcher's grant of a slot.
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

// Handles the dispatcher's notice that the request is queued.
Actions OnQueuedNotice(Request& request,
                       const dispatch::QueuedNotice& notice,
                       base::TimePoint now);

// Handles the dispatcher's refusal.
Actions OnRefusal(Request& request,
                  const dispatch::Refusal& refusal,
                  const Context& context,
                  base::TimePoint now);

// Handles the end of an attempt at an upstream.
Actions OnAttemptEnd(Request& request,
                     const AttemptEnd& end,
                     const Context& context,
                     base::TimePoint now);

// Handles the end of the caller's connection.
Actions OnCallerDisconnected(Request& request);

// Performs what is due: repeats a slot request without a reply, retries a
// stalled attempt, or ends the request at its deadline.
Actions OnTimer(Request& request, const Context& context, base::TimePoint now);

// Returns the time at which OnTimer() must be called next.
base::TimePoint NextTimerAt(const Request& request);

}  // namespace poplarfork::request
