#include "dispatch/placement_func.h"

#include <algorithm>

#include "base/rng_func.h"
#include "dispatch/evidence_func.h"

namespace poplarfork::dispatch {

namespace {

// A reported load that is older than this no longer counts as requests of other
// dispatchers.
constexpr base::Duration kStatedLoadAge = std::chrono::milliseconds(1000);

// Costs that are added to an upstream's share of used slots (0 to 1) when
// upstreams are compared. An upstream in another data centre costs less than
// half of an upstream's slots, so that requests stay in their caller's data
// centre until its upstreams are half full.
constexpr double kOtherDataCentreCost = 0.4;
constexpr double kFailureCost = 2.0;
// A non-repeatable request that fails is lost, while a repeatable one can be
// sent again.
constexpr double kFailureCostOnce = 5.0;
constexpr double kShedCost = 0.7;
constexpr double kStallCost = 1.5;
// An upstream may give no response for this many mean durations at no cost.
// Each further mean duration without a response adds to the cost, up to the
// limit.
constexpr double kSilenceAllowed = 1.0;
constexpr double kSilenceLimit = 3.0;
constexpr double kSilenceCost = 0.8;
// The first request that is granted after the last response costs nothing, and
// each further one adds to the cost, up to the limit. An upstream that has
// begun to hang thus gets one or two more requests instead of filling all its
// slots.
constexpr std::uint32_t kUnansweredAllowed = 1;
constexpr std::uint32_t kUnansweredLimit = 4;
constexpr double kUnansweredCost = 0.25;
// Non-repeatable requests prefer upstreams that have not been suspended
// recently.
constexpr base::Duration kProbationTime = std::chrono::milliseconds(4000);
constexpr double kProbationCostOnce = 0.6;
constexpr double kColdCost = 0.6;
// Non-repeatable requests go to an upstream on trial only when all others are
// full.
constexpr double kTrialCostOnce = 4.0;
// The cost is negative because a trial request must be made from time to time
// although other upstreams have free slots.
constexpr double kTrialCost = -0.5;
// A service may have no repeatable requests at all. After this time on trial,
// an upstream gets non-repeatable requests as well.
constexpr base::Duration kTrialPatience = std::chrono::milliseconds(3000);
// Upper limit of a random cost that breaks ties, so that idle upstreams share
// the requests.
constexpr double kTieNoise = 0.05;

// Mean duration that is assumed while no duration has been measured.
constexpr double kDefaultPaceUs = 300000;

bool MayUse(const UpstreamState& upstream,
            const base::DaemonId& daemon,
            const Ask& ask,
            bool below_floor,
            base::TimePoint now) {
  if (upstream.entry.phase != fleet::UpstreamPhase::kReady)
    return false;
  if (std::find(ask.avoid.begin(), ask.avoid.end(), upstream.entry.id) !=
      ask.avoid.end())
    return false;
  const auto trouble = upstream.troubled_paths.find(daemon);
  if (trouble != upstream.troubled_paths.end() && trouble->second.until > now)
    return false;
  if (upstream.standing == Standing::kSuspended)
    return below_floor;
  return true;
}

// Returns for how long an upstream with running attempts has given no response
// at all, in mean durations beyond kSilenceAllowedDurations. This detects a
// hanging upstream before any single request has taken too long.
double Silence(const UpstreamState& upstream,
               base::Duration usual,
               base::TimePoint now) {
  if (upstream.granted_at.empty() || usual <= base::Duration(0))
    return 0;
  const base::TimePoint oldest =
      *std::min_element(upstream.granted_at.begin(), upstream.granted_at.end());
  const base::Duration silent = now - std::max(oldest, upstream.last_answer);
  const double durations =
      static_cast<double>(silent.count()) / static_cast<double>(usual.count());
  return std::clamp(durations - kSilenceAllowed, 0.0, kSilenceLimit);
}

// Returns the number of stalled attempts at an upstream on trial. They still
// use slots, but whether they still count against the upstream is decided by
// the trial, so the trial does not wait for their deadlines.
std::uint32_t HangingBeforeTrial(const UpstreamState& upstream) {
  return upstream.standing == Standing::kTrial
             ? std::min(upstream.stalled, upstream.running)
             : 0;
}

double Cost(const UpstreamState& upstream,
            base::Duration usual,
            const Ask& ask,
            base::TimePoint now,
            base::Rng& rng) {
  const std::uint32_t used =
      upstream.running - HangingBeforeTrial(upstream) + upstream.foreign;
  double cost = (used + 1.0) / upstream.entry.slots *
                std::clamp(upstream.slowness, 0.5, 4.0);
  const bool repeatable = ask.work.repeatable;
  cost += FailureShare(upstream, now) *
          (repeatable ? kFailureCost : kFailureCostOnce);
  cost += kShedCost * ShedShare(upstream, now);
  const bool is_trial = upstream.standing == Standing::kTrial;
  if (upstream.stalled > 0 && !is_trial)
    cost += kStallCost;
  if (!is_trial)
    cost += kSilenceCost * Silence(upstream, usual, now);
  if (upstream.granted_since_answer > kUnansweredAllowed)
    cost += kUnansweredCost *
            std::min(upstream.granted_since_answer - kUnansweredAllowed,
                     kUnansweredLimit);
  const bool on_probation = upstream.reinstated_at != base::TimePoint{} &&
                            now - upstream.reinstated_at < kProbationTime;
  if (on_probation && !repeatable)
    cost += kProbationCostOnce;
  if (upstream.entry.cold_until > now)
    cost += kColdCost;
  if (upstream.entry.data_centre != ask.data_centre)
    cost += kOtherDataCentreCost;
  if (is_trial) {
    const bool patient = now - upstream.trial_since < kTrialPatience;
    cost += repeatable ? kTrialCost : patient ? kTrialCostOnce : 0;
  }
  if (upstream.standing == Standing::kSuspended)
    cost += kTrialCostOnce;
  return cost + kTieNoise * base::UniformUnit(rng);
}

// Returns the number of slots that may be used. An upstream on trial begins
// with one slot and gains one with each successful trial request.
std::uint32_t UsableSlots(const UpstreamState& upstream) {
  if (upstream.standing != Standing::kTrial)
    return upstream.entry.slots;
  return std::min(1 + upstream.trial_successes, upstream.entry.slots);
}

bool HasRoom(const UpstreamState& upstream, base::TimePoint now) {
  return upstream.running - HangingBeforeTrial(upstream) <
             UsableSlots(upstream) &&
         FreeSlots(upstream, now) > 0;
}

// Tells whether so many upstreams are suspended that those left are below the
// floor. The suspended ones are then used again, because the failures may have
// a common cause and the remaining upstreams could not carry the load.
bool IsBelowFloor(const ServiceState& service, double floor_share) {
  std::size_t ready = 0;
  std::size_t usable = 0;
  for (const auto& [id, upstream] : service.upstreams) {
    if (upstream.entry.phase != fleet::UpstreamPhase::kReady)
      continue;
    ++ready;
    usable += upstream.standing != Standing::kSuspended ? 1 : 0;
  }
  return static_cast<double>(usable) <
         (1 - floor_share) * static_cast<double>(ready);
}

}  // namespace

std::uint32_t FreeSlots(const UpstreamState& upstream, base::TimePoint now) {
  const bool fresh = now - upstream.load_stated_at < kStatedLoadAge;
  const std::uint32_t used = upstream.running + (fresh ? upstream.foreign : 0);
  return used >= upstream.entry.slots ? 0 : upstream.entry.slots - used;
}

UpstreamState* PlaceRequest(ServiceState& service,
                            const base::DaemonId& daemon,
                            const Ask& ask,
                            double floor_share,
                            base::TimePoint now,
                            base::Rng& rng) {
  const bool below_floor = IsBelowFloor(service, floor_share);
  const base::Duration usual =
      UsualDuration(service, ask.work, base::Duration(0));
  UpstreamState* best = nullptr;
  double best_cost = 0;
  for (auto& [id, upstream] : service.upstreams) {
    if (!MayUse(upstream, daemon, ask, below_floor, now) ||
        !HasRoom(upstream, now))
      continue;
    const double cost = Cost(upstream, usual, ask, now, rng);
    if (!best || cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  return best;
}

double ServiceRate(const ServiceState& service) {
  double slots = 0;
  for (const auto& [id, upstream] : service.upstreams) {
    if (upstream.entry.phase != fleet::UpstreamPhase::kReady ||
        upstream.standing == Standing::kSuspended)
      continue;
    slots += UsableSlots(upstream) / std::clamp(upstream.slowness, 1.0, 4.0);
  }
  double weighted = 0;
  double samples = 0;
  for (const auto& [work, pace] : service.paces) {
    weighted += pace.mean_us * pace.samples;
    samples += pace.samples;
  }
  const double mean_us = samples > 0 ? weighted / samples : kDefaultPaceUs;
  return slots * 1e6 / mean_us;
}

base::Duration UsualDuration(const ServiceState& service,
                             const WorkClass& work,
                             base::Duration fallback) {
  const auto found = service.paces.find(work);
  if (found == service.paces.end() || found->second.samples < 3)
    return fallback;
  return base::Duration(static_cast<std::int64_t>(found->second.mean_us));
}

}  // namespace poplarfork::dispatch
