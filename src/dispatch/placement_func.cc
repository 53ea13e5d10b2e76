#include "dispatch/placement_func.h"

#include <algorithm>

#include "base/rng_func.h"
#include "dispatch/coverage_func.h"
#include "dispatch/duration_stats_func.h"
#include "dispatch/fault_estimate_func.h"
#include "dispatch/outlier_detection_func.h"
#include "dispatch/pause_func.h"
#include "dispatch/rate_limit_func.h"

namespace poplarfork::dispatch {

namespace {

// A reported load that is older than this no longer counts as requests of other
// dispatchers.
constexpr base::Duration kMaxReportedLoadAge = std::chrono::milliseconds(1000);

// Costs that are added to an upstream's share of used slots (0 to 1) when
// upstreams are compared. Another data centre costs less than the use of half
// of an upstream's slots, so that callers' requests stay in the requesting
// daemon's data centre until its upstreams are half full.
constexpr double kOtherDataCentreCost = 0.4;
// Cost of the probability that the upstream has a gray failure. A request that
// fails its last attempt is lost, while others can be sent again.
constexpr double kFaultCost = 3.0;
constexpr double kFaultCostLastAttempt = 6.0;
constexpr double kShedCost = 1.5;
constexpr double kColdCost = 0.6;
// Last attempts go to an upstream on trial only when all others are full.
constexpr double kTrialCostLastAttempt = 4.0;
// The cost is negative because a trial request must be made from time to time
// although other upstreams have free slots.
constexpr double kTrialCost = -1.2;
// A service may have no repeatable requests at all. After this time on trial,
// an upstream gets last attempts as well.
constexpr base::Duration kRepeatableTrialTime = std::chrono::milliseconds(3000);

// Cost of the data centre of the running attempt for a hedge. It is above what
// an equally used upstream of another data centre costs.
constexpr double kSameDataCentreHedgeCost = 1.2;
// Fault probability up to which an upstream gets hedges. It is below the one
// that is assumed while nothing is known, so an upstream must have responded in
// the last seconds.
constexpr double kMaxHedgeFaultProbability = 0.25;

// Mean duration that is assumed while no duration has been measured.
constexpr double kDefaultDurationUs = 300000;

// Returns the requests of other dispatchers that the upstream has reported
// recently.
std::uint32_t RecentForeignRequests(const UpstreamState& upstream,
                                    base::TimePoint now) {
  return now - upstream.load_reported_at < kMaxReportedLoadAge
             ? upstream.foreign_requests
             : 0;
}

// Returns the number of stalled attempts at an upstream on trial. They still
// use slots, but whether they still count against the upstream is decided by
// the trial, so the trial does not wait for their deadlines.
std::uint32_t StalledBeforeTrial(const UpstreamState& upstream) {
  return upstream.health_status == HealthStatus::kTrial
             ? std::min(upstream.stalled_count, upstream.running_count)
             : 0;
}

// Returns the number of slots that may be used. An upstream on trial begins
// with one slot and gains one with each successful trial request.
std::uint32_t UsableSlots(const UpstreamState& upstream) {
  if (upstream.health_status != HealthStatus::kTrial)
    return upstream.entry.slots;
  return std::min(1 + upstream.trial_successes, upstream.entry.slots);
}

bool HasFreeSlot(const UpstreamState& upstream, base::TimePoint now) {
  return upstream.running_count - StalledBeforeTrial(upstream) <
             UsableSlots(upstream) &&
         FreeSlots(upstream, now) > 0;
}

// Returns why a request of `daemon` may not be sent to the upstream as far as
// its entry and the paths to it are concerned; nothing if it may.
std::optional<Exclusion> FindPathExclusion(const UpstreamState& upstream,
                                           const base::DaemonId& daemon,
                                           const SlotRequest& slot_request,
                                           base::TimePoint now) {
  if (upstream.entry.phase != fleet::UpstreamPhase::kReady)
    return Exclusion::kDraining;
  if (std::find(slot_request.avoid.begin(), slot_request.avoid.end(),
                upstream.entry.id) != slot_request.avoid.end())
    return Exclusion::kAvoided;
  if (IsDaemonPaused(upstream, daemon, now))
    return Exclusion::kDaemonPaused;
  const auto path_failure = upstream.path_failures.find(daemon);
  if (path_failure != upstream.path_failures.end() &&
      path_failure->second.avoid_until > now)
    return Exclusion::kPathFailed;
  return std::nullopt;
}

}  // namespace

std::uint32_t FreeSlots(const UpstreamState& upstream, base::TimePoint now) {
  const std::uint32_t used =
      upstream.running_count + RecentForeignRequests(upstream, now);
  return used >= upstream.entry.slots ? 0 : upstream.entry.slots - used;
}

bool MustSucceed(const SlotRequest& slot_request) {
  return !slot_request.work_class.repeatable || slot_request.is_retry;
}

bool MayBeSentTo(const UpstreamState& upstream,
                 const base::DaemonId& daemon,
                 const SlotRequest& slot_request,
                 base::TimePoint now) {
  return !FindPathExclusion(upstream, daemon, slot_request, now);
}

std::optional<Exclusion> FindExclusion(const UpstreamState& upstream,
                                       const base::DaemonId& daemon,
                                       const SlotRequest& slot_request,
                                       bool below_floor,
                                       base::TimePoint now) {
  const auto path_exclusion =
      FindPathExclusion(upstream, daemon, slot_request, now);
  if (path_exclusion)
    return path_exclusion;
  if (upstream.health_status == HealthStatus::kSuspended && !below_floor)
    return Exclusion::kSuspended;
  if (!HasFreeSlot(upstream, now)) {
    const bool trial_full = upstream.health_status == HealthStatus::kTrial &&
                            FreeSlots(upstream, now) > 0;
    return trial_full ? Exclusion::kTrialFull : Exclusion::kNoFreeSlot;
  }
  if (!IsWithinLimit(upstream, now))
    return Exclusion::kStatedLimit;
  return std::nullopt;
}

bool IsBelowFloor(const ShardState& shard_state, double floor_share) {
  std::size_t ready = 0;
  std::size_t usable = 0;
  for (const auto& [id, upstream] : shard_state.upstreams) {
    if (upstream.entry.phase != fleet::UpstreamPhase::kReady)
      continue;
    ++ready;
    usable += upstream.health_status != HealthStatus::kSuspended ? 1 : 0;
  }
  return static_cast<double>(usable) <
         (1 - floor_share) * static_cast<double>(ready);
}

double PlacementCost(const UpstreamState& upstream,
                     const SlotRequest& slot_request,
                     base::TimePoint now) {
  const std::uint32_t used = upstream.running_count -
                             StalledBeforeTrial(upstream) +
                             RecentForeignRequests(upstream, now);
  double cost = (used + 1.0) / upstream.entry.slots *
                std::clamp(upstream.slowness, 0.5, 4.0);
  const bool must_succeed = MustSucceed(slot_request);
  const bool is_trial = upstream.health_status == HealthStatus::kTrial;
  cost += FaultProbability(upstream, now) *
          (must_succeed ? kFaultCostLastAttempt : kFaultCost);
  cost += kShedCost * ShedShare(upstream, now);
  if (upstream.entry.cold_until > now)
    cost += kColdCost;
  if (upstream.entry.data_centre != slot_request.data_centre)
    cost += kOtherDataCentreCost;
  if (is_trial) {
    const bool wait_for_others =
        now - upstream.trial_started_at < kRepeatableTrialTime;
    cost += !must_succeed     ? kTrialCost
            : wait_for_others ? kTrialCostLastAttempt
                              : 0;
  }
  if (upstream.health_status == HealthStatus::kSuspended)
    cost += kTrialCostLastAttempt;
  return cost;
}

Placement PlaceRequest(ShardState& shard_state,
                       const base::DaemonId& daemon,
                       const SlotRequest& slot_request,
                       double floor_share,
                       base::TimePoint now,
                       base::Rng& rng) {
  if (UpstreamState* uncovered = FindUpstreamToCover(
          shard_state, daemon, slot_request, floor_share, now))
    return {uncovered, true};
  const bool below_floor = IsBelowFloor(shard_state, floor_share);
  UpstreamState* best = nullptr;
  double best_cost = 0;
  for (auto& [id, upstream] : shard_state.upstreams) {
    if (FindExclusion(upstream, daemon, slot_request, below_floor, now))
      continue;
    const double cost = PlacementCost(upstream, slot_request, now) +
                        kTieBreakNoise * base::Uniform01(rng);
    if (!best || cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  return {best, false};
}

Placement PlaceHedge(ShardState& shard_state,
                     const base::DaemonId& daemon,
                     const SlotRequest& slot_request,
                     base::TimePoint now,
                     base::Rng& rng) {
  const auto running =
      slot_request.avoid.empty()
          ? shard_state.upstreams.end()
          : shard_state.upstreams.find(slot_request.avoid.back());
  UpstreamState* best = nullptr;
  double best_cost = 0;
  for (auto& [id, upstream] : shard_state.upstreams) {
    if (upstream.health_status != HealthStatus::kHealthy ||
        !MayBeSentTo(upstream, daemon, slot_request, now) ||
        !HasFreeSlot(upstream, now) || !IsWithinLimit(upstream, now) ||
        FaultProbability(upstream, now) > kMaxHedgeFaultProbability)
      continue;
    const bool is_same_data_centre =
        running != shard_state.upstreams.end() &&
        running->second.entry.data_centre == upstream.entry.data_centre;
    const double cost = PlacementCost(upstream, slot_request, now) +
                        kTieBreakNoise * base::Uniform01(rng) +
                        (is_same_data_centre ? kSameDataCentreHedgeCost : 0);
    if (!best || cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  return {best, false};
}

double CompletionRate(const ShardState& shard_state) {
  double weighted = 0;
  double samples = 0;
  for (const auto& [work_class, stats] : shard_state.duration_stats) {
    weighted += MeanResponseUs(stats) * stats.samples;
    samples += stats.samples;
  }
  const double mean_us = samples > 0 ? weighted / samples : kDefaultDurationUs;
  double rate = 0;
  for (const auto& [id, upstream] : shard_state.upstreams) {
    if (upstream.entry.phase != fleet::UpstreamPhase::kReady ||
        upstream.health_status == HealthStatus::kSuspended)
      continue;
    const double slots =
        UsableSlots(upstream) / std::clamp(upstream.slowness, 1.0, 4.0);
    rate += ApplyLimitToRate(upstream, slots * 1e6 / mean_us);
  }
  return rate;
}

base::Duration MeanDuration(const ShardState& shard_state,
                            const WorkClass& work_class,
                            base::Duration fallback) {
  const auto found = shard_state.duration_stats.find(work_class);
  if (found == shard_state.duration_stats.end() || found->second.samples < 3)
    return fallback;
  return base::Duration(static_cast<std::int64_t>(found->second.mean_us));
}

}  // namespace poplarfork::dispatch
