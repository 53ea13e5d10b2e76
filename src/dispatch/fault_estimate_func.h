#pragma once

#include "base/time_type.h"
#include "dispatch/upstream_state_type.h"

namespace poplarfork::dispatch {

// Estimates how probable it is that an upstream has a gray failure now. The
// load pattern that this handles is upstreams that hang or fail for some
// seconds every now and then while their health probe succeeds, in front of
// work that may run only once: it should go to the upstreams that have just
// proved to be healthy.
//
// The model has two hidden states, healthy and faulty, between which an
// upstream changes at constant rates. Each outcome is an observation of the
// state at the time at which its attempt was granted, and each attempt that is
// still open is weaker evidence the longer it takes compared with what it
// should take.

// What the outcome of an attempt shows.
enum class Evidence { kServed, kLost };

// Updates the estimate with the outcome of an attempt that was granted at
// `granted_at`. `weight` (0 to 1) reduces evidence that may be the reporting
// daemon's own fault.
void Observe(FaultEstimate& estimate,
             Evidence evidence,
             double weight,
             base::TimePoint granted_at);

// Updates the estimate with an attempt that was given up at this age before its
// outcome was known: the evidence that it was while it ran is kept. Attempts of
// its class take `expected` on average.
void ObserveGivenUp(FaultEstimate& estimate,
                    base::Duration age,
                    base::Duration expected,
                    base::TimePoint granted_at);

// Returns the probability that an attempt at an upstream that is faulty with
// this probability gets no response.
double LossProbability(double fault_probability);

// Returns the probability that the upstream is faulty at `now`, including the
// evidence of its open attempts.
double FaultProbability(const UpstreamState& upstream, base::TimePoint now);

}  // namespace poplarfork::dispatch
