#pragma once

#include "base/time_type.h"
#include "dispatch/duration_histogram_type.h"

namespace poplarfork::dispatch {

// What the moment of a hedge depends on.
struct HedgeMomentInput {
  // Probability that the upstream of the running attempt is faulty.
  double fault_probability = 0;
  // Share of the first attempts that may be hedges.
  double hedge_share = 0;
  // Time from the start of the attempt to the caller's deadline.
  base::Duration until_deadline{};
  // Time after which the attempt is retried without hedges.
  base::Duration retry_after{};
};

// Returns the age of an attempt from which on a hedge may be requested. The
// load pattern that this handles is upstreams that hang for seconds among
// others whose durations vary: a hedge of an attempt that is only somewhat slow
// gains little and leaves none for an attempt that hangs.
//
// It is the first age at which both hold:
// - the running attempt is expected to take longer from then on than a fresh
//   one would, given that it has not ended so far;
// - it more probably hangs than not, or at most the share of the attempts that
//   may be hedged take so long.
// It is never later than `retry_after`, and just that with too few durations.
base::Duration ComputeHedgeMoment(const DurationHistogram& histogram,
                                  const HedgeMomentInput& input);

}  // namespace poplarfork::dispatch
