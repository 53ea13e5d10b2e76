#pragma once

#include <functional>

#include "request/action_type.h"
#include "request/attempt_end_type.h"
#include "request/request_type.h"

namespace poplarfork::request {

// What a request reads of the daemon's state.
struct Context {
  base::DataCentreId data_centre;
  // Returns the daemon that dispatches for a shard of a service, other than one
  // that has just been found silent (null if none was).
  std::function<base::DaemonId(const fleet::Shard&,
                               const base::DaemonId* silent)>
      dispatcher_of;
  // Returns a new attempt id.
  std::function<dispatch::AttemptId()> next_attempt;
};

// Takes a request and asks for an upstream.
Actions Begin(Request& request,
              const Arrival& arrival,
              const Context& context,
              base::TimePoint now);

// The dispatcher named an upstream.
Actions OnGrant(Request& request,
                const base::DaemonId& from,
                const dispatch::Grant& grant,
                base::TimePoint now);

// The dispatcher said that the request waits.
Actions OnWaiting(Request& request,
                  const dispatch::Waiting& waiting,
                  base::TimePoint now);

// The dispatcher refused.
Actions OnRefusal(Request& request,
                  const dispatch::Refusal& refusal,
                  const Context& context,
                  base::TimePoint now);

// The attempt at an upstream ended.
Actions OnAttemptEnd(Request& request,
                     const AttemptEnd& end,
                     const Context& context,
                     base::TimePoint now);

// The caller closed its connection.
Actions OnCallerGone(Request& request);

// Acts on what has become due: an unanswered question, a stalled attempt, the
// deadline.
Actions OnTime(Request& request, const Context& context, base::TimePoint now);

// When OnTime() has something to do next.
base::TimePoint NextWake(const Request& request);

}  // namespace poplarfork::request
