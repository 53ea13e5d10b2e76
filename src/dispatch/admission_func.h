#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Tells whether a request for which no upstream has a free slot may wait in the
// queue. The load pattern that this handles is a demand above the slots of the
// healthy upstreams: if requests wait longer than their callers do, every
// response is late, while refusing the excess at once keeps the remaining
// requests on time.
bool MayWait(const ServiceState& service, const Ask& ask);

// Returns the time after which a slot is expected to be free for a refused
// request. `jitter`, a random number from 0 to 1, spreads the returning
// requests over the time in which the queue empties, so that they do not arrive
// all at once.
base::Duration RetryAfter(const ServiceState& service, double unit);

// Inserts a request into the queue in the order of due time and priority.
void Enqueue(ServiceState& service, Waiter waiter);

// Returns the index of the queued request to serve next: the first one that can
// still complete on time, or the first one if none can. The queue must not be
// empty.
std::size_t NextWaiter(const ServiceState& service, base::TimePoint now);

// Takes one retry from the retry budget and returns whether there was one. The
// load pattern that this handles is many upstreams that shed or fail requests
// at the same time, when retrying every request would double the load.
bool TakeRetry(const Settings& settings,
               ServiceState& service,
               const WorkClass& work,
               base::TimePoint now);

// Counts a granted request that is not a retry. The retry budget grows with the
// rate of these.
void CountFirstSend(const Settings& settings,
                    ServiceState& service,
                    base::TimePoint now);

}  // namespace poplarfork::dispatch
