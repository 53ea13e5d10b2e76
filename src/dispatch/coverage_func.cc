#include "dispatch/coverage_func.h"

#include <algorithm>
#include <cmath>

#include "dispatch/fault_estimate_func.h"
#include "dispatch/placement_func.h"
#include "dispatch/rate_limit_func.h"

namespace poplarfork::dispatch {

namespace {

// The deployment's floor is judged over windows of two seconds. The intervals
// leave time to find a request for each upstream that is due.
constexpr base::Duration kCoverageInterval = std::chrono::milliseconds(1000);
// Requests whose last attempt this is are used only for upstreams that no other
// request has covered by then.
constexpr base::Duration kCoverageIntervalLastAttempt =
    std::chrono::milliseconds(1400);
// Added to the intervals while few requests fail: there are then few upstreams
// to cover, and each is found a request soon.
constexpr base::Duration kCalmCoverageDelay = std::chrono::milliseconds(300);

// Share of the upstreams expected to be sound that is kept covered beyond the
// floor, while few and while many requests fail. Which ones are sound is only
// estimated, and an upstream that has been faulty until a moment ago counts.
constexpr double kCalmFloorShareMargin = 0.05;
constexpr double kLossyFloorShareMargin = 0.2;
// Upstreams that are covered beyond that. One wrong estimate is a large share
// of a small shard.
constexpr double kUncertainUpstreams = 1;

// Coverage requests for each other request while few requests fail, as far as
// last attempts are used. Where upstreams see less than a request a second,
// most requests would otherwise go to upstreams of which nothing is known.
constexpr double kCalmCoverageShare = 0.2;
constexpr double kMaxCoverageCredit = 4;

// Pause after a coverage request that did not reach its upstream.
constexpr base::Duration kCoverageRetryPause = std::chrono::milliseconds(400);

// Age at which unserved requests count half.
constexpr base::Duration kLossHalfLife = std::chrono::milliseconds(1000);
// Share of unserved requests above which a shard is lossy. The deployment's
// floor binds above a tenth of a service's requests; a shard sees a part of
// them and must have begun before.
constexpr double kLossyShare = 0.06;
// Requests that are assumed to have been served, so that one failure among few
// requests is not a large share.
constexpr double kPriorRequests = 5;

// Time after which a dispatcher without knowledge has seen enough outcomes,
// those of requests that hang included.
constexpr base::Duration kUnknownLossTime = std::chrono::milliseconds(2500);

double DecayFactor(const LossStats& loss_stats, base::TimePoint now) {
  const double age = static_cast<double>((now - loss_stats.decayed_at).count());
  return std::exp2(-age / static_cast<double>(kLossHalfLife.count()));
}

void Decay(LossStats& loss_stats, base::TimePoint now) {
  const double factor = DecayFactor(loss_stats, now);
  loss_stats.placed *= factor;
  loss_stats.unserved *= factor;
  loss_stats.decayed_at = now;
}

base::Duration CoverageInterval(bool is_last_attempt, bool lossy) {
  const base::Duration interval =
      is_last_attempt ? kCoverageIntervalLastAttempt : kCoverageInterval;
  return lossy ? interval : interval + kCalmCoverageDelay;
}

// Tells whether the upstream can take one more request. Stalled requests do not
// count, because an upstream that hangs would otherwise stay uncovered until
// their deadlines.
bool HasRoom(const UpstreamState& upstream) {
  const std::uint32_t stalled =
      std::min(upstream.stalled_count, upstream.running_count);
  return upstream.running_count - stalled < upstream.entry.slots;
}

// Tells whether this share of the upstreams that are expected to be sound has
// received a request within `interval`. Requests to upstreams that are probably
// faulty would be lost, and the floor does not ask for them.
bool IsShareCovered(const ShardState& shard_state,
                    double share,
                    base::Duration interval,
                    base::TimePoint now) {
  double sound = 0;
  double covered = 0;
  for (const auto& [id, upstream] : shard_state.upstreams) {
    if (upstream.entry.phase != fleet::UpstreamPhase::kReady)
      continue;
    const double soundness = 1 - FaultProbability(upstream, now);
    sound += soundness;
    covered += now - upstream.covered_at < interval ? soundness : 0;
  }
  return covered >=
         std::min(std::min(share, 1.0) * sound + kUncertainUpstreams, sound);
}

}  // namespace

void CountPlaced(LossStats& loss_stats,
                 bool for_coverage,
                 base::TimePoint now) {
  if (for_coverage) {
    loss_stats.coverage_credit = std::max(loss_stats.coverage_credit - 1, 0.0);
    return;
  }
  loss_stats.coverage_credit = std::min(
      loss_stats.coverage_credit + kCalmCoverageShare, kMaxCoverageCredit);
  Decay(loss_stats, now);
  loss_stats.placed += 1;
}

void CountUnserved(LossStats& loss_stats, double weight, base::TimePoint now) {
  Decay(loss_stats, now);
  loss_stats.unserved += weight;
}

void AssumeLossy(LossStats& loss_stats, base::TimePoint now) {
  loss_stats.unknown_until = now + kUnknownLossTime;
}

bool IsLossy(const LossStats& loss_stats, base::TimePoint now) {
  if (now < loss_stats.unknown_until)
    return true;
  const double factor = DecayFactor(loss_stats, now);
  const double placed = factor * loss_stats.placed + kPriorRequests;
  return factor * loss_stats.unserved > kLossyShare * placed;
}

void MarkCovered(UpstreamState& upstream, base::TimePoint now) {
  upstream.previously_covered_at = upstream.covered_at;
  upstream.covered_at = now;
}

void RevokeCoverage(UpstreamState& upstream,
                    const RunningAttempt& attempt,
                    base::TimePoint now) {
  if (upstream.covered_at != attempt.granted_at)
    return;
  upstream.covered_at = upstream.previously_covered_at;
  upstream.cover_not_before = now + kCoverageRetryPause;
}

UpstreamState* FindUpstreamToCover(ShardState& shard_state,
                                   const base::DaemonId& daemon,
                                   const SlotRequest& slot_request,
                                   double floor_share,
                                   base::TimePoint now) {
  const bool lossy = IsLossy(shard_state.loss_stats, now);
  const base::Duration interval =
      CoverageInterval(MustSucceed(slot_request), lossy);
  if (!lossy && MustSucceed(slot_request) &&
      shard_state.loss_stats.coverage_credit < 1)
    return nullptr;
  UpstreamState* best = nullptr;
  double best_rank = 0;
  for (auto& [id, upstream] : shard_state.upstreams) {
    if (now - upstream.covered_at < interval ||
        upstream.cover_not_before > now ||
        !MayBeSentTo(upstream, daemon, slot_request, now) ||
        !HasRoom(upstream) || !IsWithinLimit(upstream, now))
      continue;
    if (!lossy && upstream.health_status == HealthStatus::kSuspended)
      continue;
    const double rank = 1 - FaultProbability(upstream, now);
    if (!best || rank > best_rank) {
      best = &upstream;
      best_rank = rank;
    }
  }
  // Looked at last, because it takes the fault probabilities of all upstreams
  // and usually none is due.
  const double margin = lossy ? kLossyFloorShareMargin : kCalmFloorShareMargin;
  if (!best || IsShareCovered(shard_state, floor_share + margin, interval, now))
    return nullptr;
  return best;
}

}  // namespace poplarfork::dispatch
