#include "health/service_health_func.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/hash_func.h"
#include "health/attribution_func.h"
#include "health/coordinator_func.h"
#include "health/crash_func.h"
#include "health/cusum_func.h"
#include "health/ejection_func.h"
#include "health/parameters_func.h"
#include "health/probe_func.h"
#include "health/rate_func.h"
#include "health/request_func.h"
#include "health/return_func.h"

namespace poplarfork::health {

namespace {

// If the event loop is later than this, its measurements are no reliable
// evidence about upstreams.
constexpr base::Duration kMaximumLateness = std::chrono::milliseconds(200);
// An upstream on trial gets at most this share of its usual requests.
constexpr double kTrialWeight = 0.2;
constexpr std::size_t kServicesForObserver = 2;

struct Step {
  ServiceHealth& health;
  base::TimePoint now;
  base::Rng& rng;
  Actions& actions;
};

UpstreamState NewUpstream(const note::Upstream& upstream, base::TimePoint now) {
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
  health.index.clear();
  for (std::uint32_t i = 0; i < health.upstreams.size(); ++i)
    health.index[health.upstreams[i].id] = i;
  for (std::uint32_t i = 0; i < health.upstreams.size(); ++i)
    PlaceInCounts(health, i);
}

// Updates references to upstreams by position after the positions changed, and
// removes references to upstreams that no longer exist.
void MovePositions(ServiceHealth& health,
                   const std::vector<base::UpstreamId>& before) {
  for (auto entry = health.in_flight.begin();
       entry != health.in_flight.end();) {
    const auto found = health.index.find(before[entry->second.upstream]);
    if (found == health.index.end()) {
      entry = health.in_flight.erase(entry);
      continue;
    }
    entry->second.upstream = found->second;
    ++entry;
  }
  std::vector<std::uint32_t> limited;
  for (const std::uint32_t index : health.limited) {
    const auto found = health.index.find(before[index]);
    if (found != health.index.end())
      limited.push_back(found->second);
  }
  health.limited = limited;
}

void Run(Step& step, const RequestStarted& event) {
  HandleStarted(step.health, event, step.now);
}

void Run(Step& step, const RequestFinished& event) {
  HandleFinished(step.health, event, step.now, step.rng, step.actions);
}

void Run(Step& step, const Tick& event) {
  ServiceHealth& health = step.health;
  const bool late = event.loop_lateness > kMaximumLateness;
  if (late && health.detector.attributes) {
    DiscardEvidence(health, Reason::kLoopLate, event.loop_lateness, step.now,
                    step.actions);
  }
  RefreshReference(health, step.now);
  TickInFlight(health, step.now, step.rng, step.actions);
  for (const std::uint32_t index : health.detector.on_tick(health, step.now)) {
    Verdict verdict = health.detector.judge(health, index, step.now);
    verdict.reason = Reason::kSuccessRateDeviation;
    ActOnVerdict(health, index, verdict, step.now, step.rng, step.actions);
  }
  TickEjections(health, step.now, step.actions);
  TickReturns(health, step.now, step.actions);
  if (health.detector.attributes)
    CheckLoad(health, step.now, step.actions);
  ExpireCrashes(health.crashes, step.now, step.actions);
  TickProbes(health, step.now, step.actions);
  SendReport(health, step.now, step.actions);
  TickCoordinator(health, step.now, step.actions);
  AcceptEvidence(health);
}

void Run(Step& step, const ProbeFinished& event) {
  HandleProbe(step.health, event, step.now, step.rng, step.actions);
}

void Run(Step& step, const ServiceChanged& event) {
  ServiceHealth& health = step.health;
  AcceptEvidence(health);
  std::map<base::UpstreamId, UpstreamState> old;
  std::vector<base::UpstreamId> before;
  for (UpstreamState& upstream : health.upstreams) {
    before.push_back(upstream.id);
    old.emplace(upstream.id, std::move(upstream));
  }
  health.upstreams.clear();
  health.policy = event.service.policy;
  health.parameters = ParametersOf(event.service.policy.detection);
  std::vector<std::uint32_t> added;
  for (const auto& [id, listed] : event.service.upstreams) {
    const auto found = old.find(id);
    if (found == old.end()) {
      added.push_back(static_cast<std::uint32_t>(health.upstreams.size()));
      health.upstreams.push_back(NewUpstream(listed, step.now));
      continue;
    }
    UpstreamState state = std::move(found->second);
    state.slots = listed.slots;
    state.data_centre = listed.data_centre;
    health.upstreams.push_back(std::move(state));
  }
  RebuildIndex(health);
  MovePositions(health, before);
  AssignProbes(health);
  ++health.view_version;
  for (const std::uint32_t index : added)
    StartRamp(health, index, Reason::kAdded, step.now, step.actions);
  NoteFloor(health, step.now, step.actions);
}

void Run(Step& step, const DrainChanged& event) {
  ServiceHealth& health = step.health;
  const auto found = health.index.find(event.upstream);
  if (found == health.index.end())
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
  FillCapacity(health, step.now, action.inputs);
  step.actions.push_back(action);
  if (!event.draining && !upstream.ejection.active) {
    StartTrial(health, found->second, Reason::kReturning, step.now,
               step.actions);
  }
  NoteFloor(health, step.now, step.actions);
}

void Run(Step& step, const GroupChanged& event) {
  if (step.health.members == event.members)
    return;
  step.health.members = event.members;
  step.health.coordinator.request_rates.clear();
  AssignProbes(step.health);
}

void Run(Step& step, const ReportReceived& event) {
  PoolReport(step.health, event.report, step.now, step.actions);
}

void Run(Step& step, const LedgerReceived& event) {
  const bool used =
      ConfirmLedger(step.health, event.ledger, step.now, step.actions);
  if (used && event.from_store)
    ForwardLedger(step.health, step.now, step.actions);
}

void Run(Step& step, const LedgerWriteFinished& event) {
  HandleLedgerWrite(step.health, event, step.now, step.actions);
  if (event.succeeded)
    ConfirmLedger(step.health, event.ledger, step.now, step.actions);
}

void Run(Step& step, const CrashAnnounced& event) {
  if (!RefuseAnnounced(step.health.crashes, event.fingerprint, step.now))
    return;
  Action action;
  action.kind = ActionKind::kRefuseFingerprint;
  action.reason = Reason::kCrashAnnounced;
  action.fingerprint = event.fingerprint;
  step.actions.push_back(action);
}

void Run(Step& step, const ObserverSuspected& /*event*/) {
  DiscardEvidence(step.health, Reason::kManyServices, base::Duration(0),
                  step.now, step.actions);
  for (UpstreamState& upstream : step.health.upstreams)
    upstream.tests = TestState{};
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
  health.parameters = ParametersOf(service.policy.detection);
  health.detector = detector;
  health.built = now;
  health.last_probe_round = now;
  health.last_load_check = now;
  health.baseline_interval_start = now;
  for (const auto& [id, upstream] : service.upstreams)
    health.upstreams.push_back(NewUpstream(upstream, now));
  RebuildIndex(health);
  AssignProbes(health);
  return health;
}

Actions Handle(ServiceHealth& health,
               const Event& event,
               base::TimePoint now,
               base::Rng& rng) {
  Actions actions;
  Step step{health, now, rng, actions};
  std::visit([&step](const auto& one) { Run(step, one); }, event);
  return actions;
}

RoutingView ViewOf(const ServiceHealth& health, base::TimePoint now) {
  RoutingView view;
  view.floor = health.policy.floor;
  view.entries.resize(health.upstreams.size());
  for (std::size_t i = 0; i < health.upstreams.size(); ++i) {
    const UpstreamState& upstream = health.upstreams[i];
    RoutingEntry& entry = view.entries[i];
    entry.slots = upstream.slots;
    entry.draining = upstream.draining;
    entry.suspicion = upstream.suspicion;
    entry.trial = upstream.phase == Phase::kTrial && !upstream.ejection.active;
    entry.limited = upstream.phase == Phase::kAvoided || entry.trial ||
                    upstream.ejection.active;
    if (entry.trial)
      entry.weight = kTrialWeight;
    else if (upstream.phase == Phase::kRamp)
      entry.weight = RampWeight(now - upstream.phase_since);
  }
  return view;
}

bool IsRefused(const ServiceHealth& health,
               Fingerprint fingerprint,
               base::TimePoint now) {
  const auto found = health.crashes.refused.find(fingerprint);
  return found != health.crashes.refused.end() && now < found->second;
}

bool ObserverIsSuspect(const std::vector<const ServiceHealth*>& services,
                       base::TimePoint now) {
  const auto suspect = std::count_if(services.begin(), services.end(),
                                     [now](const ServiceHealth* health) {
                                       return MostUpstreamsBad(*health, now);
                                     });
  return static_cast<std::size_t>(suspect) >= kServicesForObserver;
}

base::DaemonId CoordinatorOf(const base::ServiceId& service,
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
