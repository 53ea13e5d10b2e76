#include "dispatch/hedge_func.h"

#include <algorithm>

#include "base/time_func.h"
#include "dispatch/admission_func.h"
#include "dispatch/fault_estimate_func.h"

namespace poplarfork::dispatch {

namespace {

// Hedges that a dispatcher may send before it has granted any first attempt. A
// new dispatcher starts with them after each take-over, so they are few.
constexpr double kInitialHedgeCredit = 1;
// Upper limit of the credit of a service: an upstream that begins to hang holds
// as many requests as it has slots. Each shard has its share, but at least one
// hedge and what it has earned towards the next.
constexpr double kMaxHedgeCredit = 10;
constexpr double kMinMaxHedgeCredit = 2;

// A cancelled attempt is evidence about its upstream if it had run for this
// many mean durations. Nine of ten take less.
constexpr double kLongDurationFactor = 1.8;

void InitializeHedgeBudget(ShardState& shard_state) {
  if (shard_state.hedge_budget.initialized)
    return;
  shard_state.hedge_budget = {kInitialHedgeCredit * shard_state.limit_share,
                              true};
}

HedgeDecision Refuse(RefusalReason reason) {
  return {{}, reason};
}

}  // namespace

HedgeDecision DecideHedge(const Settings& settings,
                          ShardState& shard_state,
                          const base::DaemonId& daemon,
                          const SlotRequest& slot_request,
                          base::TimePoint now,
                          base::Rng& rng) {
  InitializeHedgeBudget(shard_state);
  if (settings.hedge_share <= 0 || !slot_request.work_class.repeatable ||
      shard_state.hedge_budget.tokens < 1)
    return Refuse(RefusalReason::kHedgeBudget);
  if (!shard_state.queue.empty())
    return Refuse(RefusalReason::kOverload);
  const Placement placement =
      PlaceHedge(shard_state, daemon, slot_request, now, rng);
  if (!placement.upstream)
    return Refuse(RefusalReason::kNoUpstream);
  if (!TryTakeRetryToken(settings, shard_state, slot_request, now))
    return Refuse(RefusalReason::kRetryBudget);
  shard_state.hedge_budget.tokens -= 1;
  return {placement, std::nullopt};
}

void EarnHedgeCredit(const Settings& settings,
                     ShardState& shard_state,
                     const SlotRequest& slot_request) {
  // A request whose first grant could not be used has been counted with it.
  if (slot_request.was_granted)
    return;
  InitializeHedgeBudget(shard_state);
  shard_state.hedge_budget.tokens = std::min(
      shard_state.hedge_budget.tokens + settings.hedge_share,
      std::max(kMaxHedgeCredit * shard_state.limit_share, kMinMaxHedgeCredit));
}

Outcome JudgedOutcome(const RunningAttempt& attempt,
                      const AttemptReport& report) {
  return report.outcome == Outcome::kCancelled &&
                 report.duration >= attempt.retry_at - attempt.granted_at
             ? Outcome::kStalled
             : report.outcome;
}

void CountCancelled(const ShardState& shard_state,
                    UpstreamState& upstream,
                    const RunningAttempt& attempt,
                    base::Duration age) {
  const base::Duration mean =
      MeanDuration(shard_state, attempt.work_class, base::Duration(0));
  if (mean > base::Duration(0) && age > base::Scale(mean, kLongDurationFactor))
    ObserveGivenUp(upstream.fault_estimate, age, mean, attempt.granted_at);
}

}  // namespace poplarfork::dispatch
