#pragma once

#include "request/action_type.h"
#include "request/context_type.h"
#include "request/request_type.h"

namespace poplarfork::request {

// Which attempt a slot is requested for.
enum class SlotPurpose {
  // Nothing has been sent to an upstream before.
  kFirst,
  // The request is sent again, in place of its attempts so far.
  kRetry,
  // The request is sent to a second upstream while the first one works on it.
  kHedge,
};

// Returns the number of shards of the request's service.
std::uint32_t ShardCount(const Request& request);

// Returns the time from `now` to `until`, or zero if that has passed.
base::Duration TimeLeft(base::TimePoint until, base::TimePoint now);

// Returns the purpose of the latest slot request.
SlotPurpose LatestPurpose(const Request& request);

// Requests a slot under a new attempt id. `silent_dispatcher`, if not null, is
// not asked.
void StartSlotRequest(Request& request,
                      SlotPurpose purpose,
                      const base::DaemonId* silent_dispatcher,
                      const Context& context,
                      base::TimePoint now,
                      Actions& actions);

// Tells whether a slot request has been neither granted nor refused nor
// withdrawn.
bool HasOpenSlotRequest(const Request& request);

// Tells whether this is the open slot request, and for a hedge.
bool IsOpenHedge(const Request& request, dispatch::AttemptId id);

// Withdraws the latest slot request from its dispatcher.
void WithdrawSlotRequest(const Request& request, Actions& actions);

// Handles the dispatcher's notice that the request is queued.
Actions OnQueuedNotice(Request& request,
                       const dispatch::QueuedNotice& notice,
                       base::TimePoint now);

// Repeats a slot request that has got no reply, or sends it to the next
// dispatcher.
void OnSlotRequestTimeout(Request& request,
                          const Context& context,
                          base::TimePoint now,
                          Actions& actions);

}  // namespace poplarfork::request
