#pragma once

#include "dispatch/action_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Updates an upstream's health from the outcome of an attempt, and suspends or
// reinstates the upstream. The load pattern that this handles is upstreams that
// fail, hang or shed a part of their requests while their health probe
// succeeds. `weight` (0 to 1) is the weight of a failure that `attempt.daemon`
// reports. It is small if that daemon sees failures at many upstreams.
void CountOutcome(ShardState& shard_state,
                  UpstreamState& upstream,
                  const RunningAttempt& attempt,
                  const AttemptReport& report,
                  double weight,
                  base::TimePoint now,
                  Actions& actions);

// Counts an attempt that has received no response for too long as stalled,
// before the attempt ends. If attempts were counted only at their deadlines,
// all slots of an upstream that hangs would be filled by then.
void CountStall(UpstreamState& upstream,
                const RunningAttempt& attempt,
                double weight,
                base::TimePoint now,
                Actions& actions);

// Suspends an upstream whose host refused a connection, unless there has been a
// response since shortly before. Returns whether it is suspended.
bool SuspendRefusing(UpstreamState& upstream,
                     base::TimePoint now,
                     Actions& actions);

// Handles the result of a health probe of a suspended upstream.
void HandleProbeResult(UpstreamState& upstream,
                       bool healthy,
                       base::TimePoint now,
                       Actions& actions);

// Starts a health probe of a suspended upstream when its suspension has ended.
void StartDueProbe(UpstreamState& upstream,
                   base::TimePoint now,
                   Actions& actions);

// Returns the share of recent attempts that the upstream failed. The share
// includes a prior of kPriorServed and kPriorFailed attempts, which favours the
// upstream.
double FailureShare(const UpstreamState& upstream, base::TimePoint now);

// Returns the share of recent attempts that the upstream shed although the
// dispatcher counted a free slot.
double ShedShare(const UpstreamState& upstream, base::TimePoint now);

}  // namespace poplarfork::dispatch
