#include "health/recovery_func.h"

#include <algorithm>
#include <cmath>

#include "base/rng_func.h"
#include "health/floor_func.h"
#include "health/rate_func.h"
#include "health/service_health_func.h"

namespace poplarfork::health {

namespace {

constexpr std::uint32_t kMaxHoldDownLevel = 6;
// Hold-downs are extended by a random part of up to this share, so that the
// daemons of a group do not all start a trial of an upstream at the same time.
constexpr double kHoldDownJitter = 0.1;
constexpr double kInitialRampWeight = 0.1;
// A trial ends and the ramp starts after this time, even if the trial had no
// requests or too few.
constexpr base::Duration kMaxTrialTime = std::chrono::seconds(30);
// A probe that failed within this time extends a hold-down.
constexpr base::Duration kFailedProbeLifetime = std::chrono::seconds(6);

Action MakeAction(ActionKind kind,
                  Reason reason,
                  const UpstreamState& upstream) {
  Action action;
  action.kind = kind;
  action.reason = reason;
  action.upstream = upstream.id;
  return action;
}

void EnterPhase(ServiceHealth& health,
                std::uint32_t index,
                Phase phase,
                base::TimePoint now) {
  UpstreamState& upstream = health.upstreams[index];
  upstream.phase = phase;
  upstream.phase_since = now;
  upstream.trial_successes = 0;
  upstream.trial_faults = 0;
  ++health.view_version;
  AddRecovering(health, index);
}

void FillTestInputs(const ServiceHealth& health,
                    std::uint32_t index,
                    base::TimePoint now,
                    DecisionInputs& inputs) {
  const UpstreamState& upstream = health.upstreams[index];
  const BaseRates rates = BaseRatesExcluding(health, index, now);
  inputs.outcome_score = upstream.detector_state.outcome_score;
  inputs.latency_score = upstream.detector_state.latency_score;
  inputs.threshold = upstream.phase == Phase::kInService
                         ? health.parameters.avoid_threshold
                         : health.parameters.trial_threshold;
  inputs.base_rate = rates.failed_response + rates.transport_failure;
  if (health.latency_reference.known)
    inputs.reference_latency_us =
        std::exp(health.latency_reference.upper_median);
}

void StartTrialIfDue(ServiceHealth& health,
                     std::uint32_t index,
                     base::TimePoint now,
                     Actions& actions) {
  const UpstreamState& upstream = health.upstreams[index];
  if (now < upstream.hold_down_until || upstream.ejection.active)
    return;
  const bool probe_failed =
      upstream.last_failed_probe != base::TimePoint{} &&
      now - upstream.last_failed_probe < kFailedProbeLifetime;
  if (!probe_failed)
    StartTrial(health, index, Reason::kHoldDownOver, now, actions);
}

void EndRampIfDue(ServiceHealth& health,
                  std::uint32_t index,
                  base::TimePoint now,
                  Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  if (now - upstream.phase_since < kRampTime)
    return;
  EnterPhase(health, index, Phase::kInService, now);
  upstream.good_since = now;
  upstream.suspicion = 0;
  actions.push_back(
      MakeAction(ActionKind::kRestore, Reason::kRampOver, upstream));
}

void LowerHoldDownLevelIfDue(UpstreamState& upstream, base::TimePoint now) {
  if (upstream.hold_down_level == 0 ||
      now - upstream.good_since < kGoodServiceTime)
    return;
  --upstream.hold_down_level;
  upstream.good_since = now;
}

bool NeedsTicks(const UpstreamState& upstream) {
  return upstream.phase != Phase::kInService || upstream.hold_down_level > 0 ||
         upstream.ejection.active;
}

}  // namespace

base::Duration HoldDownDuration(std::uint32_t level) {
  const std::uint32_t doublings = std::min(level, kMaxHoldDownLevel);
  return std::min<base::Duration>(kInitialHoldDown * (1U << doublings),
                                  kMaxHoldDown);
}

double RampWeight(base::Duration since_start) {
  const double progress = static_cast<double>(since_start.count()) /
                          static_cast<double>(kRampTime.count());
  return std::clamp(kInitialRampWeight + (1 - kInitialRampWeight) * progress,
                    kInitialRampWeight, 1.0);
}

void FillSlotInputs(const ServiceHealth& health,
                    base::TimePoint now,
                    DecisionInputs& inputs) {
  const RoutingView view = BuildRoutingView(health, now);
  for (const RoutingEntry& entry : view.entries)
    inputs.listed_slots += entry.slots;
  inputs.remaining_slots = RemainingSlots(view, RoutableUpstreams(view));
  inputs.floor_slots = FloorSlots(view.floor, inputs.listed_slots);
}

void AddRecovering(ServiceHealth& health, std::uint32_t index) {
  const auto found =
      std::find(health.recovering.begin(), health.recovering.end(), index);
  if (found == health.recovering.end())
    health.recovering.push_back(index);
}

void AvoidUpstream(ServiceHealth& health,
                   std::uint32_t index,
                   Reason reason,
                   double suspicion,
                   base::TimePoint now,
                   base::Rng& rng,
                   Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  Action action = MakeAction(ActionKind::kAvoid, reason, upstream);
  FillTestInputs(health, index, now, action.inputs);
  const double jitter = 1 + kHoldDownJitter * base::Uniform01(rng);
  const double hold_down_us =
      static_cast<double>(HoldDownDuration(upstream.hold_down_level).count()) *
      jitter;
  action.inputs.duration =
      base::Duration(static_cast<std::int64_t>(hold_down_us));
  EnterPhase(health, index, Phase::kAvoided, now);
  upstream.hold_down_until = now + action.inputs.duration;
  upstream.hold_down_level =
      std::min(upstream.hold_down_level + 1, kMaxHoldDownLevel);
  upstream.suspicion = std::max(suspicion, health.parameters.trial_threshold);
  upstream.detector_state = DetectorState{};
  upstream.last_avoid_report = base::TimePoint{};
  SubtractUpstreamCounts(health, index, now);
  FillSlotInputs(health, now, action.inputs);
  actions.push_back(action);
  UpdateKeptForFloor(health, now, actions);
}

void StartTrial(ServiceHealth& health,
                std::uint32_t index,
                Reason reason,
                base::TimePoint now,
                Actions& actions) {
  EnterPhase(health, index, Phase::kTrial, now);
  health.upstreams[index].detector_state = DetectorState{};
  actions.push_back(
      MakeAction(ActionKind::kStartTrial, reason, health.upstreams[index]));
}

void StartRamp(ServiceHealth& health,
               std::uint32_t index,
               Reason reason,
               base::TimePoint now,
               Actions& actions) {
  EnterPhase(health, index, Phase::kRamp, now);
  health.upstreams[index].detector_state = DetectorState{};
  actions.push_back(
      MakeAction(ActionKind::kStartRamp, reason, health.upstreams[index]));
}

void CountTrialRequest(ServiceHealth& health,
                       std::uint32_t index,
                       std::uint32_t faults,
                       base::TimePoint now,
                       base::Rng& rng,
                       Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  upstream.trial_faults += faults;
  if (faults > 0)
    upstream.trial_successes = 0;
  if (upstream.trial_faults >= kFaultsPerFailure) {
    AvoidUpstream(health, index, Reason::kTrialFailed, upstream.suspicion, now,
                  rng, actions);
    return;
  }
  if (faults == 0)
    ++upstream.trial_successes;
  if (upstream.trial_successes >= health.parameters.required_trial_successes)
    StartRamp(health, index, Reason::kTrialPassed, now, actions);
}

void CountKeptRequest(ServiceHealth& health,
                      std::uint32_t index,
                      bool good,
                      base::TimePoint now,
                      Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  upstream.trial_successes = good ? upstream.trial_successes + 1 : 0;
  const bool passed =
      upstream.trial_successes >= health.parameters.required_trial_successes;
  if (passed && !upstream.ejection.active)
    StartRamp(health, index, Reason::kTrialPassed, now, actions);
}

void AdvanceRecoveries(ServiceHealth& health,
                       base::TimePoint now,
                       Actions& actions) {
  const std::vector<std::uint32_t> indices = health.recovering;
  for (const std::uint32_t index : indices) {
    UpstreamState& upstream = health.upstreams[index];
    if (upstream.phase == Phase::kAvoided)
      StartTrialIfDue(health, index, now, actions);
    else if (upstream.phase == Phase::kRamp)
      EndRampIfDue(health, index, now, actions);
    else if (upstream.phase == Phase::kInService)
      LowerHoldDownLevelIfDue(upstream, now);
    else if (!upstream.ejection.active &&
             now - upstream.phase_since >= kMaxTrialTime)
      StartRamp(health, index, Reason::kTrialPassed, now, actions);
  }
  std::erase_if(health.recovering, [&health](std::uint32_t index) {
    return !NeedsTicks(health.upstreams[index]);
  });
}

void UpdateKeptForFloor(ServiceHealth& health,
                        base::TimePoint now,
                        Actions& actions) {
  const RoutingView view = BuildRoutingView(health, now);
  std::vector<bool> kept(view.entries.size(), false);
  for (const RoutableUpstream& upstream : RoutableUpstreams(view))
    kept[upstream.index] = upstream.kept_for_floor;
  for (std::uint32_t i = 0; i < kept.size(); ++i) {
    UpstreamState& upstream = health.upstreams[i];
    const bool newly_kept = kept[i] && !upstream.kept_for_floor;
    upstream.kept_for_floor = kept[i];
    if (!newly_kept)
      continue;
    Action action =
        MakeAction(ActionKind::kKeepForFloor, Reason::kFloor, upstream);
    FillSlotInputs(health, now, action.inputs);
    actions.push_back(action);
  }
}

}  // namespace poplarfork::health
