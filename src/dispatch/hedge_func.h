#pragma once

#include <optional>

#include "base/rng_type.h"
#include "dispatch/dispatcher_type.h"
#include "dispatch/placement_func.h"

namespace poplarfork::dispatch {

// The upstream for a hedge, or why there is none.
struct HedgeDecision {
  Placement placement;
  std::optional<RefusalReason> refusal;
};

// Decides whether a request may be sent to a second upstream while its first
// attempt runs, and takes the tokens for that. The load pattern that this
// handles is many upstreams that are slow at the same time: hedges must not
// exceed their share, take slots from waiting requests, or add to a retry
// storm.
HedgeDecision DecideHedge(const Settings& settings,
                          ShardState& shard_state,
                          const base::DaemonId& daemon,
                          const SlotRequest& slot_request,
                          base::TimePoint now,
                          base::Rng& rng);

// Counts a granted first attempt, whose share adds to the hedges that may be
// sent.
void EarnHedgeCredit(const Settings& settings,
                     ShardState& shard_state,
                     const SlotRequest& slot_request);

// Returns the outcome by which a reported attempt is judged. An attempt that
// was cancelled after another one had completed the request counts as stalled
// if it had run for longer than the time after which it would have been
// retried.
Outcome JudgedOutcome(const RunningAttempt& attempt,
                      const AttemptReport& report);

// Counts an attempt that was cancelled earlier than that. If it had run for
// much longer than usual, it makes a fault of its upstream more probable;
// otherwise it says nothing.
void CountCancelled(const ShardState& shard_state,
                    UpstreamState& upstream,
                    const RunningAttempt& attempt,
                    base::Duration age);

}  // namespace poplarfork::dispatch
