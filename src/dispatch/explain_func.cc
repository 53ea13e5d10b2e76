#include "dispatch/explain_func.h"

#include <algorithm>
#include <utility>

#include "allowance/balances_func.h"
#include "dispatch/account_limit_func.h"
#include "dispatch/admission_func.h"
#include "dispatch/coverage_func.h"
#include "dispatch/dispatcher_func.h"
#include "dispatch/fault_estimate_func.h"
#include "dispatch/handover_func.h"
#include "dispatch/pause_func.h"
#include "dispatch/queue_func.h"
#include "dispatch/shard_state_func.h"

namespace poplarfork::dispatch {

namespace {

// Mean of the random numbers from 0 to 1 that spread the times to try again.
constexpr double kMeanJitter = 0.5;

// Returns a dispatcher with a copy of the parts of the state that decide on the
// slot request. The running attempts and the crash records are left out.
Dispatcher CopyRelevantState(const Dispatcher& dispatcher,
                             const SlotRequest& slot_request) {
  Dispatcher copy;
  copy.settings = dispatcher.settings;
  copy.ready = dispatcher.ready;
  const fleet::Shard shard = RequestedShard(slot_request);
  const auto shard_state = dispatcher.shards.find(shard);
  if (shard_state != dispatcher.shards.end())
    copy.shards.insert(*shard_state);
  else
    copy.upstreams = dispatcher.upstreams;
  const auto digest = dispatcher.digests.find(shard);
  if (digest != dispatcher.digests.end())
    copy.digests.insert(*digest);
  copy.balances.accounts = dispatcher.balances.accounts;
  copy.balances.known_members = dispatcher.balances.known_members;
  const auto balance =
      dispatcher.balances.by_account.find(slot_request.account);
  if (balance != dispatcher.balances.by_account.end())
    copy.balances.by_account.insert(*balance);
  return copy;
}

void AddUpstreams(const ShardState& shard_state,
                  const base::DaemonId& daemon,
                  const SlotRequest& slot_request,
                  double floor_share,
                  base::TimePoint now,
                  Explanation& explanation) {
  const bool below_floor = IsBelowFloor(shard_state, floor_share);
  for (const auto& [id, upstream] : shard_state.upstreams) {
    const std::optional<Exclusion> exclusion =
        FindExclusion(upstream, daemon, slot_request, below_floor, now);
    if (exclusion) {
      explanation.excluded.push_back({id, *exclusion});
      continue;
    }
    explanation.candidates.push_back(
        {id, upstream.entry.data_centre, upstream.health_status,
         FaultProbability(upstream, now), upstream.running_count,
         upstream.entry.slots, PlacementCost(upstream, slot_request, now)});
  }
  std::stable_sort(explanation.candidates.begin(), explanation.candidates.end(),
                   [](const PlacementCandidate& a,
                      const PlacementCandidate& b) { return a.cost < b.cost; });
}

ExpectedReply MakeExpectedRefusal(RefusalReason reason,
                                  base::Duration retry_after) {
  ExpectedReply reply;
  reply.reason = reason;
  reply.retry_after = retry_after;
  return reply;
}

// Returns the reply to a request that no limit of its account refuses. The
// queued requests have been served.
ExpectedReply ExpectReply(ShardState& shard_state,
                          const base::DaemonId& daemon,
                          const SlotRequest& slot_request,
                          double floor_share,
                          base::TimePoint now,
                          const Explanation& explanation) {
  ExpectedReply reply;
  if (const UpstreamState* uncovered = FindUpstreamToCover(
          shard_state, daemon, slot_request, floor_share, now)) {
    reply.result = ExpectedResult::kGranted;
    reply.upstream = uncovered->entry.id;
    reply.for_coverage = true;
    return reply;
  }
  const std::vector<PlacementCandidate>& candidates = explanation.candidates;
  if (!candidates.empty()) {
    reply.result = ExpectedResult::kGranted;
    reply.upstream = candidates[0].id;
    reply.is_near_tie =
        candidates.size() > 1 &&
        candidates[1].cost - candidates[0].cost < kTieBreakNoise;
    return reply;
  }
  const std::optional<base::Duration> pause =
      PauseOfAllUpstreams(shard_state, daemon, slot_request, now);
  if (pause)
    return MakeExpectedRefusal(RefusalReason::kUpstreamsPaused, *pause);
  if (!MayQueue(shard_state, slot_request, now))
    return MakeExpectedRefusal(RefusalReason::kOverload,
                               ComputeRetryAfter(shard_state, kMeanJitter));
  reply.result = ExpectedResult::kQueued;
  return reply;
}

// Takes a token of the account of the request. Returns the time to try again if
// there is none.
std::optional<base::Duration> TakeAccountToken(Dispatcher& copy,
                                               const SlotRequest& slot_request,
                                               base::TimePoint now,
                                               Explanation& explanation) {
  const base::AccountId account = ChargedAccount(copy, slot_request);
  const std::optional<base::Duration> retry_after =
      allowance::TakeToken(copy.balances, account, now, kMeanJitter);
  const auto balance = copy.balances.by_account.find(account);
  if (balance != copy.balances.by_account.end())
    explanation.account_tokens = balance->second.tokens + (retry_after ? 0 : 1);
  return retry_after;
}

}  // namespace

Explanation ExplainSlotRequest(const Dispatcher& dispatcher,
                               const base::DaemonId& daemon,
                               const SlotRequest& slot_request,
                               base::TimePoint now) {
  Explanation explanation;
  Dispatcher copy = CopyRelevantState(dispatcher, slot_request);
  const fleet::Shard shard = RequestedShard(slot_request);
  ShardState* shard_state = FindOrCreateShard(copy, shard, now);
  if (!copy.ready || !shard_state || shard_state->upstreams.empty()) {
    explanation.reply = MakeExpectedRefusal(
        copy.ready ? RefusalReason::kNoUpstream : RefusalReason::kNotReady,
        kNoUpstreamRetryAfter);
    return explanation;
  }
  TakeUpShard(copy, shard, *shard_state, now);
  explanation.waiting_count = shard_state->queue.size();
  const std::optional<base::Duration> retry_after =
      TakeAccountToken(copy, slot_request, now, explanation);
  if (!retry_after) {
    base::Rng rng;
    Actions actions;
    ServeQueue(copy, *shard_state, now, rng, actions);
  }
  const double floor_share = copy.settings.floor_share;
  AddUpstreams(*shard_state, daemon, slot_request, floor_share, now,
               explanation);
  explanation.reply =
      retry_after
          ? MakeExpectedRefusal(RefusalReason::kOverAllowance, *retry_after)
          : ExpectReply(*shard_state, daemon, slot_request, floor_share, now,
                        explanation);
  return explanation;
}

}  // namespace poplarfork::dispatch
