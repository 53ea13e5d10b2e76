#include "health/service_health_func.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/hash_func.h"
#include "health/attribution_func.h"
#include "health/coordinator_func.h"
#include "health/crash_func.h"
#include "health/cusum_func.h"
#include "health/detection_parameters_func.h"
#include "health/ejection_func.h"
#include "health/probe_func.h"
#include "health/rate_func.h"
#include "health/recovery_func.h"
#include "health/request_func.h"

namespace poplarfork::health {

namespace {

// If the event loop is later than this, its measurements are no reliable
// evidence about upstreams.
constexpr base::Duration kMaxLoopLateness = std::chrono::milliseconds(200);
// An upstream on trial gets at most this share of its usual requests.
constexpr double kTrialWeight = 0.2;
constexpr std::size_t kMinServicesAgainstObserver = 2;

struct EventContext {
  ServiceHealth& health;
  base::TimePoint now;
  base::Rng& rng;
  Actions& actions;
};

UpstreamState InitialUpstreamState(const note::Upstream& upstream,
                                   base::TimePoint now) {
  UpstreamState state;
  state.id = upstream.id;
  state.data_centre = upstream.data_centre;
  state.slots = upstream.slots;
  state.phase_since = now;
  state.good_since = now;
  state.last_request = now;
  return state;
}

void RebuildIndex(ServiceHealth& health) {
  health.index_by_id.clear();
  for (std::uint32_t i = 0; i < health.upstreams.size(); ++i)
    health.index_by_id[health.upstreams[i].id] = i;
  for (std::uint32_t i = 0; i < health.upstreams.size(); ++i)
    AssignDataCentreCounts(health, i);
}

// Updates references to upstreams by position after the positions changed, and
// removes references to upstreams that no longer exist.
void RemapUpstreamPositions(ServiceHealth& health,
                            const std::vector<base::UpstreamId>& old_ids) {
  for (auto entry = health.in_flight.begin();
       entry != health.in_flight.end();) {
    const auto found =
        health.index_by_id.find(old_ids[entry->second.upstream_index]);
    if (found == health.index_by_id.end()) {
      entry = health.in_flight.erase(entry);
      continue;
    }
    entry->second.upstream_index = found->second;
    ++entry;
  }
  std::vector<std::uint32_t> recovering;
  for (const std::uint32_t index : health.recovering) {
    const auto found = health.index_by_id.find(old_ids[index]);
    if (found != health.index_by_id.end())
      recovering.push_back(found->second);
  }
  health.recovering = recovering;
}

void ProcessEvent(EventContext& context, const RequestStarted& event) {
  HandleRequestStarted(context.health, event, context.now);
}

void ProcessEvent(EventContext& context, const RequestFinished& event) {
  HandleRequestFinished(context.health, event, context.now, context.rng,
                        context.actions);
}

void ProcessEvent(EventContext& context, const Tick& event) {
  ServiceHealth& health = context.health;
  const bool late = event.loop_lateness > kMaxLoopLateness;
  if (late && health.detector.uses_attribution) {
    DiscardEvidence(health, Reason::kLoopLate, event.loop_lateness, context.now,
                    context.actions);
  }
  RefreshLatencyReference(health, context.now);
  ObserveRequestsInFlight(health, context.now, context.rng, context.actions);
  for (const std::uint32_t index :
       health.detector.on_tick(health, context.now)) {
    DetectionResult result =
        health.detector.evaluate(health, index, context.now);
    result.reason = Reason::kSuccessRateDeviation;
    AvoidIfSuspect(health, index, result, context.now, context.rng,
                   context.actions);
  }
  EndExpiredEjections(health, context.now, context.actions);
  AdvanceRecoveries(health, context.now, context.actions);
  if (health.detector.uses_attribution)
    UpdateShedding(health, context.now, context.actions);
  ExpireCrashTable(health.crash_table, context.now, context.actions);
  AddDueProbes(health, context.now, context.actions);
  SendReport(health, context.now, context.actions);
  RunCoordinator(health, context.now, context.actions);
  ClearSavedEvidence(health);
}

void ProcessEvent(EventContext& context, const ProbeFinished& event) {
  HandleProbeFinished(context.health, event, context.now, context.rng,
                      context.actions);
}

void ProcessEvent(EventContext& context, const ServiceChanged& event) {
  ServiceHealth& health = context.health;
  ClearSavedEvidence(health);
  std::map<base::UpstreamId, UpstreamState> old_states;
  std::vector<base::UpstreamId> old_ids;
  for (UpstreamState& upstream : health.upstreams) {
    old_ids.push_back(upstream.id);
    old_states.emplace(upstream.id, std::move(upstream));
  }
  health.upstreams.clear();
  health.policy = event.service.policy;
  health.parameters = GetDetectionParameters(event.service.policy.detection);
  std::vector<std::uint32_t> added;
  for (const auto& [id, listed] : event.service.upstreams) {
    const auto found = old_states.find(id);
    if (found == old_states.end()) {
      added.push_back(static_cast<std::uint32_t>(health.upstreams.size()));
      health.upstreams.push_back(InitialUpstreamState(listed, context.now));
      continue;
    }
    UpstreamState state = std::move(found->second);
    state.slots = listed.slots;
    state.data_centre = listed.data_centre;
    health.upstreams.push_back(std::move(state));
  }
  RebuildIndex(health);
  RemapUpstreamPositions(health, old_ids);
  AssignProbes(health);
  ++health.view_version;
  for (const std::uint32_t index : added)
    StartRamp(health, index, Reason::kAdded, context.now, context.actions);
  UpdateKeptForFloor(health, context.now, context.actions);
}

void ProcessEvent(EventContext& context, const DrainChanged& event) {
  ServiceHealth& health = context.health;
  const auto found = health.index_by_id.find(event.upstream);
  if (found == health.index_by_id.end())
    return;
  UpstreamState& upstream = health.upstreams[found->second];
  if (upstream.draining == event.draining)
    return;
  upstream.draining = event.draining;
  ++health.view_version;
  Action action;
  action.kind = ActionKind::kDrain;
  action.reason = event.draining ? Reason::kDraining : Reason::kDrainEnded;
  action.upstream = upstream.id;
  FillSlotInputs(health, context.now, action.inputs);
  context.actions.push_back(action);
  if (!event.draining && !upstream.ejection.active) {
    StartTrial(health, found->second, Reason::kReturning, context.now,
               context.actions);
  }
  UpdateKeptForFloor(health, context.now, context.actions);
}

void ProcessEvent(EventContext& context, const GroupChanged& event) {
  if (context.health.members == event.members)
    return;
  context.health.members = event.members;
  context.health.coordinator.request_rates.clear();
  AssignProbes(context.health);
}

void ProcessEvent(EventContext& context, const ReportReceived& event) {
  HandleReport(context.health, event.report, context.now, context.actions);
}

void ProcessEvent(EventContext& context, const LedgerReceived& event) {
  const bool applied =
      ApplyLedger(context.health, event.ledger, context.now, context.actions);
  if (applied && event.from_store)
    SendLedgerToGroup(context.health, context.now, context.actions);
}

void ProcessEvent(EventContext& context, const LedgerWriteFinished& event) {
  HandleLedgerWriteFinished(context.health, event, context.now,
                            context.actions);
  if (event.succeeded)
    ApplyLedger(context.health, event.ledger, context.now, context.actions);
}

void ProcessEvent(EventContext& context, const CrashAnnounced& event) {
  if (!RefuseAnnouncedFingerprint(context.health.crash_table, event.fingerprint,
                                  context.now))
    return;
  Action action;
  action.kind = ActionKind::kRefuseFingerprint;
  action.reason = Reason::kCrashAnnounced;
  action.fingerprint = event.fingerprint;
  context.actions.push_back(action);
}

void ProcessEvent(EventContext& context, const ObserverSuspected& /*event*/) {
  DiscardEvidence(context.health, Reason::kManyServices, base::Duration(0),
                  context.now, context.actions);
  for (UpstreamState& upstream : context.health.upstreams)
    upstream.detector_state = DetectorState{};
}

}  // namespace

ServiceHealth BuildServiceHealth(const note::Service& service,
                                 const GroupMember& self,
                                 base::TimePoint now) {
  return BuildServiceHealth(service, self, now, CusumDetector());
}

ServiceHealth BuildServiceHealth(const note::Service& service,
                                 const GroupMember& self,
                                 base::TimePoint now,
                                 const Detector& detector) {
  ServiceHealth health;
  health.service = service.id;
  health.self = self;
  health.members = {self};
  health.policy = service.policy;
  health.parameters = GetDetectionParameters(service.policy.detection);
  health.detector = detector;
  health.built_at = now;
  health.last_probe_round = now;
  health.last_load_check = now;
  health.baseline_interval_start = now;
  for (const auto& [id, upstream] : service.upstreams)
    health.upstreams.push_back(InitialUpstreamState(upstream, now));
  RebuildIndex(health);
  AssignProbes(health);
  return health;
}

Actions HandleEvent(ServiceHealth& health,
                    const Event& event,
                    base::TimePoint now,
                    base::Rng& rng) {
  Actions actions;
  EventContext context{health, now, rng, actions};
  std::visit([&context](const auto& one) { ProcessEvent(context, one); },
             event);
  return actions;
}

RoutingView BuildRoutingView(const ServiceHealth& health, base::TimePoint now) {
  RoutingView view;
  view.floor = health.policy.floor;
  view.entries.resize(health.upstreams.size());
  for (std::size_t i = 0; i < health.upstreams.size(); ++i) {
    const UpstreamState& upstream = health.upstreams[i];
    RoutingEntry& entry = view.entries[i];
    entry.slots = upstream.slots;
    entry.draining = upstream.draining;
    entry.suspicion = upstream.suspicion;
    entry.on_trial =
        upstream.phase == Phase::kTrial && !upstream.ejection.active;
    entry.limited = upstream.phase == Phase::kAvoided || entry.on_trial ||
                    upstream.ejection.active;
    if (entry.on_trial)
      entry.weight = kTrialWeight;
    else if (upstream.phase == Phase::kRamp)
      entry.weight = RampWeight(now - upstream.phase_since);
  }
  return view;
}

bool IsRefused(const ServiceHealth& health,
               Fingerprint fingerprint,
               base::TimePoint now) {
  const auto found = health.crash_table.refused_until.find(fingerprint);
  return found != health.crash_table.refused_until.end() && now < found->second;
}

bool IsObserverSuspect(const std::vector<const ServiceHealth*>& services,
                       base::TimePoint now) {
  const auto suspect = std::count_if(services.begin(), services.end(),
                                     [now](const ServiceHealth* health) {
                                       return MostUpstreamsBad(*health, now);
                                     });
  return static_cast<std::size_t>(suspect) >= kMinServicesAgainstObserver;
}

base::DaemonId SelectCoordinator(const base::ServiceId& service,
                                 const std::vector<GroupMember>& members) {
  base::DaemonId best;
  std::uint64_t best_weight = 0;
  for (const GroupMember& member : members) {
    const std::uint64_t weight =
        base::RendezvousWeight(service.value, member.daemon.value);
    const bool better = best.value.empty() || weight > best_weight ||
                        (weight == best_weight && member.daemon < best);
    if (!better)
      continue;
    best = member.daemon;
    best_weight = weight;
  }
  return best;
}

}  // namespace poplarfork::health
