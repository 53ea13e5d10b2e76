#pragma once

#include <optional>
#include <set>

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Tells whether a request for which no upstream has a free slot may wait in the
// queue. The load pattern that this handles is a demand above the slots of the
// healthy upstreams: if requests wait longer than their callers do, every
// response is late, while refusing the excess at once keeps the remaining
// requests on time.
bool MayQueue(const ShardState& shard_state,
              const SlotRequest& slot_request,
              base::TimePoint now);

// Returns the time after which a slot is expected to be free for a refused
// request. `jitter`, a random number from 0 to 1, spreads the returning
// requests over the time in which the queue empties, so that they do not arrive
// all at once.
base::Duration ComputeRetryAfter(const ShardState& shard_state, double jitter);

// Inserts a request into the queue in the order of due time and priority.
void Enqueue(ShardState& shard_state, QueuedRequest queued_request);

// Queued requests that cannot use the free slots, although others may: single
// ones, and all of a daemon.
struct PassedOver {
  std::set<AttemptKey> requests;
  std::set<base::DaemonId> daemons;
};

// Returns the index of the queued request to serve next: the first one that can
// still complete on time, or the first one if none can. The requests in
// `passed_over` are left out; returns nothing if there are no others. In place
// of a request whose account has been served far more than that of another one
// comes the request of the latter, see account_load_func.h.
std::optional<std::size_t> NextQueuedIndex(const ShardState& shard_state,
                                           const PassedOver& passed_over,
                                           base::TimePoint now);

// Takes one retry from the retry budget and returns whether there was one. The
// load pattern that this handles is many upstreams that shed or fail requests
// at the same time, when retrying every request would double the load. Part of
// the budget is reserved for non-repeatable requests, and a larger part for all
// retries that are not hedges.
bool TryTakeRetryToken(const Settings& settings,
                       ShardState& shard_state,
                       const SlotRequest& slot_request,
                       base::TimePoint now);

// Gives back the retry that a slot request has taken if it is one. It must not
// have been granted an upstream.
void GiveBackRetryToken(ShardState& shard_state,
                        const SlotRequest& slot_request);

// Counts a granted request that is not a retry. The retry budget grows with the
// rate of these.
void CountFirstAttempt(const Settings& settings,
                       ShardState& shard_state,
                       base::TimePoint now);

// Continues the retry budget of a previous dispatcher, which had `tokens` left.
void InheritRetryBudget(const Settings& settings,
                        ShardState& shard_state,
                        double tokens,
                        double request_rate,
                        base::TimePoint now);

}  // namespace poplarfork::dispatch
