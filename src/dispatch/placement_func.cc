#include "dispatch/placement_func.h"

#include <algorithm>

#include "base/rng_func.h"
#include "dispatch/evidence_func.h"

namespace poplarfork::dispatch {

namespace {

// Stated load older than this no longer counts as other dispatchers' work.
constexpr base::Duration kStatedLoadAge = std::chrono::milliseconds(1000);

// Costs that are added to the share of used slots (0 to 1) when upstreams are
// compared. Another data centre costs less than half of an upstream's room, so
// that callers' requests stay local until the local upstreams are half full.
constexpr double kOtherDataCentreCost = 0.4;
constexpr double kFailureCost = 2.0;
// An order that meets a failure is lost, a look-up is sent again.
constexpr double kFailureCostOnce = 5.0;
constexpr double kShedCost = 0.7;
constexpr double kStallCost = 1.5;
// Silence of this many usual durations costs nothing; beyond that each counts,
// up to the limit.
constexpr double kSilenceAllowed = 1.0;
constexpr double kSilenceLimit = 3.0;
constexpr double kSilenceCost = 0.8;
// Requests granted since the last answer beyond the first each cost, up to the
// limit: an upstream that has begun to hang gets one or two more, not a
// slotful.
constexpr std::uint32_t kUnansweredAllowed = 1;
constexpr std::uint32_t kUnansweredLimit = 4;
constexpr double kUnansweredCost = 0.25;
// Work that may run only once prefers upstreams that were not suspended lately.
constexpr base::Duration kProbationTime = std::chrono::milliseconds(4000);
constexpr double kProbationCostOnce = 0.6;
constexpr double kColdCost = 0.6;
// Work that may run only once goes to a trial when all else is full.
constexpr double kTrialCostOnce = 4.0;
// A trial must happen now and then although other upstreams have room.
constexpr double kTrialCost = -0.5;
// A service may have no repeatable work at all; after this time its trials use
// any work.
constexpr base::Duration kTrialPatience = std::chrono::milliseconds(3000);
// Breaks ties, so that idle upstreams share the work.
constexpr double kTieNoise = 0.05;

// Pace of work that has not been seen yet.
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

// How long an upstream with work has given no answer at all, in usual durations
// beyond the first one. It tells of a hanging upstream before a single request
// has taken too long.
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

// Requests that hang at an upstream on trial. They take slots, but a trial
// finds out whether they still speak against the upstream, so it does not wait
// for their deadlines.
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

// Slots that may be used: a trial begins with one and gains one with each
// success.
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

// With so many upstreams suspended that the rest is below the floor, the
// suspended ones are used again: the evidence may come from a common cause, and
// the others could not carry the load.
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
