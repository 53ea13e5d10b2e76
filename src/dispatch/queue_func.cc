#include "dispatch/queue_func.h"

#include <algorithm>
#include <optional>

#include "base/rng_func.h"
#include "base/time_func.h"
#include "dispatch/account_limit_func.h"
#include "dispatch/account_load_func.h"
#include "dispatch/admission_func.h"
#include "dispatch/coverage_func.h"
#include "dispatch/crash_func.h"
#include "dispatch/hedge_func.h"
#include "dispatch/pause_func.h"
#include "dispatch/running_attempt_func.h"

namespace poplarfork::dispatch {

namespace {

// A queued request is refused when even a run of this share of the mean
// duration would end after the request's deadline.
constexpr double kShortDurationShare = 0.7;

// Placements that may fail in one run of the queue. Each compares all
// upstreams, and the queue may hold thousands of requests while upstreams hang.
constexpr int kMaxFailedPlacements = 8;

// Tells whether an upstream may have a free slot, whoever may use it. The slots
// of stalled attempts count as free here, as they do for coverage and trials.
bool HasAnyFreeSlot(const ShardState& shard_state) {
  return std::any_of(shard_state.upstreams.begin(), shard_state.upstreams.end(),
                     [](const auto& item) {
                       const UpstreamState& upstream = item.second;
                       return upstream.entry.phase ==
                                  fleet::UpstreamPhase::kReady &&
                              upstream.running_count <
                                  upstream.entry.slots + upstream.stalled_count;
                     });
}

// Tells whether some upstream is ruled out for this request, so that another
// one may get a slot where this one does not.
bool IsRestricted(const ShardState& shard_state,
                  const QueuedRequest& queued_request,
                  base::TimePoint now) {
  return std::any_of(shard_state.upstreams.begin(), shard_state.upstreams.end(),
                     [&](const auto& item) {
                       const UpstreamState& upstream = item.second;
                       return upstream.entry.phase ==
                                  fleet::UpstreamPhase::kReady &&
                              !MayBeSentTo(upstream, queued_request.daemon,
                                           queued_request.slot_request, now);
                     });
}

// Tells whether some upstream is not ruled out for this request.
bool MayBeSentAnywhere(const ShardState& shard_state,
                       const QueuedRequest& queued_request,
                       base::TimePoint now) {
  return std::any_of(shard_state.upstreams.begin(), shard_state.upstreams.end(),
                     [&](const auto& item) {
                       return MayBeSentTo(item.second, queued_request.daemon,
                                          queued_request.slot_request, now);
                     });
}

// Leaves out a request that no upstream can take. Without upstreams of its own
// to avoid, it stands for all requests of its daemon.
void PassOver(const QueuedRequest& queued_request, PassedOver& passed_over) {
  if (queued_request.slot_request.avoid.empty())
    passed_over.daemons.insert(queued_request.daemon);
  else
    passed_over.requests.insert(
        {queued_request.daemon, queued_request.slot_request.attempt_id});
}

}  // namespace

Refusal MakeRefusal(const ShardState* shard_state,
                    const SlotRequest& slot_request,
                    RefusalReason reason,
                    base::Rng& rng) {
  Refusal refusal{slot_request.attempt_id, reason, kCrashingRetryAfter};
  if (shard_state && reason != RefusalReason::kCrashesUpstreams)
    refusal.retry_after = ComputeRetryAfter(*shard_state, base::Uniform01(rng));
  return refusal;
}

void GrantSlot(Dispatcher& dispatcher,
               ShardState& shard_state,
               const Placement& placement,
               const base::DaemonId& daemon,
               const SlotRequest& slot_request,
               const base::AccountId& charged_account,
               base::Duration waited,
               base::TimePoint now,
               Actions& actions) {
  const RunningAttempt& attempt =
      AddRunningAttempt(dispatcher, shard_state, placement, daemon,
                        slot_request, charged_account, waited, now);
  const UpstreamState& upstream = *placement.upstream;
  CountAccountGrant(shard_state, slot_request, now);
  if (!slot_request.is_retry) {
    CountFirstAttempt(dispatcher.settings, shard_state, now);
    EarnHedgeCredit(dispatcher.settings, shard_state, slot_request);
    CountPlaced(shard_state.loss_stats, placement.for_coverage, now);
  }
  actions.push_back(SendGrant{
      daemon,
      Grant{slot_request.attempt_id, upstream.entry.id, upstream.entry.address,
            attempt.retry_at - now, attempt.hedge_after, waited}});
}

void ServeQueue(Dispatcher& dispatcher,
                ShardState& shard_state,
                base::TimePoint now,
                base::Rng& rng,
                Actions& actions) {
  PassedOver passed_over;
  int failed_placements = 0;
  while (const auto next = NextQueuedIndex(shard_state, passed_over, now)) {
    QueuedRequest& queued_request = shard_state.queue[*next];
    const Placement placement = PlaceRequest(
        shard_state, queued_request.daemon, queued_request.slot_request,
        dispatcher.settings.floor_share, now, rng);
    if (!placement.upstream) {
      if (!HasAnyFreeSlot(shard_state) ||
          !IsRestricted(shard_state, queued_request, now))
        return;
      if (MayBeSentAnywhere(shard_state, queued_request, now) &&
          ++failed_placements >= kMaxFailedPlacements)
        return;
      PassOver(queued_request, passed_over);
      continue;
    }
    GrantSlot(dispatcher, shard_state, placement, queued_request.daemon,
              queued_request.slot_request, queued_request.charged_account,
              now - queued_request.queued_at, now, actions);
    shard_state.queue.erase(shard_state.queue.begin() +
                            static_cast<std::ptrdiff_t>(*next));
  }
}

bool RefuseIfPaused(const ShardState& shard_state,
                    const base::DaemonId& daemon,
                    const SlotRequest& slot_request,
                    base::TimePoint now,
                    Actions& actions) {
  const std::optional<base::Duration> pause =
      PauseOfAllUpstreams(shard_state, daemon, slot_request, now);
  if (!pause)
    return false;
  actions.push_back(
      SendRefusal{daemon, Refusal{slot_request.attempt_id,
                                  RefusalReason::kUpstreamsPaused, *pause}});
  return true;
}

void RefuseExpiredRequests(Dispatcher& dispatcher,
                           ShardState& shard_state,
                           base::TimePoint now,
                           base::Rng& rng,
                           Actions& actions) {
  std::erase_if(shard_state.queue, [&](const QueuedRequest& queued_request) {
    if (RefuseIfPaused(shard_state, queued_request.daemon,
                       queued_request.slot_request, now, actions)) {
      GiveBackAccountToken(dispatcher, queued_request.charged_account);
      GiveBackRetryToken(shard_state, queued_request.slot_request);
      return true;
    }
    const base::Duration duration = MeanDuration(
        shard_state, queued_request.slot_request.work_class, base::Duration(0));
    if (now + base::Scale(duration, kShortDurationShare) <
        queued_request.deadline)
      return false;
    CountUnserved(shard_state.loss_stats, 1, now);
    GiveBackAccountToken(dispatcher, queued_request.charged_account);
    GiveBackRetryToken(shard_state, queued_request.slot_request);
    actions.push_back(
        SendRefusal{queued_request.daemon,
                    MakeRefusal(&shard_state, queued_request.slot_request,
                                RefusalReason::kExpired, rng)});
    return true;
  });
}

void RemoveFromQueue(Dispatcher& dispatcher,
                     const base::DaemonId& daemon,
                     AttemptId attempt_id) {
  for (auto& shard : dispatcher.shards) {
    ShardState& shard_state = shard.second;
    std::erase_if(shard_state.queue, [&](const QueuedRequest& queued_request) {
      if (queued_request.daemon != daemon ||
          queued_request.slot_request.attempt_id != attempt_id)
        return false;
      GiveBackAccountToken(dispatcher, queued_request.charged_account);
      GiveBackRetryToken(shard_state, queued_request.slot_request);
      return true;
    });
  }
}

}  // namespace poplarfork::dispatch
