#pragma once

#include "base/time_type.h"
#include "dispatch/dispatcher_type.h"
#include "dispatch/message_type.h"
#include "dispatch/upstream_state_type.h"

namespace poplarfork::dispatch {

// Coverage is the promise that ready upstreams that can be reached keep
// receiving requests. The load pattern that this handles is many failures from
// a cause that the outcomes do not show: the upstreams that look bad may then
// be healthy, and the ones that look good cannot carry the load alone.
//
// An upstream is due for coverage when no request has been sent to it for the
// coverage interval. Upstreams that are due go before all other placement until
// the floor and a margin are covered, and those that look best go first. The
// floor counts sound upstreams, so each counts with the probability that it is
// one: if all look bad for a common reason, all are covered. While many
// requests fail, the margin is larger, and upstreams are covered whatever their
// health status is. Otherwise, since failures may begin at any moment, the
// floor alone is kept covered. Requests that can be sent again are used before
// others.

// Counts a request that has been granted an upstream for the first time.
// Coverage requests and their losses are left out: coverage would otherwise
// cause the losses that keep it up.
void CountPlaced(LossStats& loss_stats, bool for_coverage, base::TimePoint now);

// Counts a request that will probably not be served. `weight` (0 to 1) is the
// probability of that.
void CountUnserved(LossStats& loss_stats, double weight, base::TimePoint now);

// Assumes for some time that many requests fail. A dispatcher that takes over
// without knowledge would find out too late.
void AssumeLossy(LossStats& loss_stats, base::TimePoint now);

// Tells whether so many requests fail that all upstreams must be covered.
bool IsLossy(const LossStats& loss_stats, base::TimePoint now);

// Records that a request is granted to the upstream and will reach it.
void MarkCovered(UpstreamState& upstream, base::TimePoint now);

// Records that a granted request did not reach the upstream. The upstream
// becomes due again after a pause, so that an unreachable upstream does not
// delay every request.
void RevokeCoverage(UpstreamState& upstream,
                    const RunningAttempt& attempt,
                    base::TimePoint now);

// Returns the upstream to which the request should be sent for coverage, or
// null if there is none. `floor_share` is the share of the healthy upstreams
// that must receive requests.
UpstreamState* FindUpstreamToCover(ShardState& shard_state,
                                   const base::DaemonId& daemon,
                                   const SlotRequest& slot_request,
                                   double floor_share,
                                   base::TimePoint now);

}  // namespace poplarfork::dispatch
