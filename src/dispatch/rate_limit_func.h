#pragma once

#include <optional>

#include "base/time_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// The load pattern that these functions handle is an upstream that takes fewer
// requests per second than its slots could serve, and says so in its responses.

// Applies the limit in a response of the upstream. Without one, an earlier
// limit ends, unless the request was granted before that limit was stated last.
void ApplyStatedLimit(UpstreamState& upstream,
                      std::optional<double> per_second,
                      base::TimePoint granted_at,
                      base::TimePoint now);

// Applies a limit that this daemon has seen in a response, whichever daemon
// dispatches for the upstream: this daemon may be the next dispatcher. Returns
// whether no limit was known.
bool LearnStatedLimit(Dispatcher& dispatcher,
                      const base::UpstreamId& id,
                      double per_second,
                      base::TimePoint now);

// Continues the limit of a previous dispatcher, which had `tokens` left.
void InheritLimit(UpstreamState& upstream,
                  double per_second,
                  double tokens,
                  base::TimePoint now);

// Tells whether one more request keeps to the limit.
bool IsWithinLimit(const UpstreamState& upstream, base::TimePoint now);

// Counts a request that is sent, and takes one back that was not sent after
// all.
void CountTowardsLimit(UpstreamState& upstream, base::TimePoint now);
void UncountTowardsLimit(UpstreamState& upstream);

// Returns `rate`, or the limit if that is lower. Both are in requests per
// second.
double ApplyLimitToRate(const UpstreamState& upstream, double rate);

}  // namespace poplarfork::dispatch
