#include "health/attribution_func.h"

#include <map>

#include "health/probe_func.h"

namespace poplarfork::health {

namespace {

// Requests and failures count as recent for this time.
constexpr base::Duration kRecentWindow = std::chrono::seconds(2);
// Fewer bad upstreams than this never count as most of the upstreams.
constexpr std::uint32_t kMinBadUpstreams = 3;
// A data centre counts as healthy if at least this many of its upstreams were
// used recently and at most a fifth of those are bad.
constexpr std::uint32_t kMinUsedUpstreamsPerDataCentre = 2;
constexpr std::uint32_t kMaxBadShareDivisor = 5;
// For this time after the pooled connections of an upstream were closed, a
// request without a response on a reused connection counts against the
// upstream.
constexpr base::Duration kConnectionRenewalTime = std::chrono::seconds(10);
constexpr base::Duration kLoadCheckInterval = std::chrono::milliseconds(500);
// Load shedding lasts for this time after most upstreams were last overloaded.
constexpr base::Duration kMinSheddingTime = std::chrono::seconds(2);
// Events that were delayed by a stall of the event loop arrive in the same loop
// iteration as the late tick or shortly after it. Evidence is ignored for this
// time after the tick.
constexpr base::Duration kIgnoreTimeAfterStall = std::chrono::milliseconds(100);

struct UsedUpstreamCounts {
  std::uint32_t used = 0;
  std::uint32_t bad = 0;
};

bool IsRecent(base::TimePoint time, base::TimePoint now) {
  return time != base::TimePoint{} && now - time < kRecentWindow;
}

using UpstreamPredicate = bool (*)(const UpstreamState&, base::TimePoint);

bool IsOverloaded(const UpstreamState& upstream, base::TimePoint now) {
  return IsRecent(upstream.last_bad_response, now);
}

bool IsUnresponsive(const UpstreamState& upstream, base::TimePoint now) {
  return IsRecent(upstream.last_transport_failure, now);
}

bool IsBad(const UpstreamState& upstream, base::TimePoint now) {
  return IsOverloaded(upstream, now) || IsUnresponsive(upstream, now);
}

bool IsHealthyDataCentre(const UsedUpstreamCounts& count) {
  return count.used >= kMinUsedUpstreamsPerDataCentre &&
         count.bad * kMaxBadShareDivisor <= count.used;
}

bool MostUpstreamsMatch(const ServiceHealth& health,
                        base::TimePoint now,
                        UpstreamPredicate predicate) {
  UsedUpstreamCounts total;
  for (const UpstreamState& upstream : health.upstreams) {
    if (!IsRecent(upstream.last_request, now))
      continue;
    ++total.used;
    total.bad += predicate(upstream, now) ? 1 : 0;
  }
  if (total.bad < kMinBadUpstreams || total.bad * 2 <= total.used)
    return false;
  std::map<base::DataCentreId, UsedUpstreamCounts> by_data_centre;
  for (const UpstreamState& upstream : health.upstreams) {
    if (!IsRecent(upstream.last_request, now))
      continue;
    UsedUpstreamCounts& count = by_data_centre[upstream.data_centre];
    ++count.used;
    count.bad += predicate(upstream, now) ? 1 : 0;
  }
  for (const auto& [data_centre, count] : by_data_centre) {
    if (IsHealthyDataCentre(count))
      return false;
  }
  return true;
}

void ResetDetectorStates(ServiceHealth& health) {
  for (UpstreamState& upstream : health.upstreams) {
    upstream.detector_state = DetectorState{};
    upstream.unreported_failures = 0;
    upstream.unreported_slow = 0;
  }
}

void RestoreEvidence(const SavedEvidence& saved,
                     ServiceHealth& health,
                     Actions& actions) {
  UpstreamState& upstream = health.upstreams[saved.upstream_index];
  const Phase phase_before = upstream.phase;
  upstream.detector_state = saved.detector_state;
  upstream.phase = saved.phase;
  upstream.phase_since = saved.phase_since;
  upstream.hold_down_until = saved.hold_down_until;
  upstream.hold_down_level = saved.hold_down_level;
  upstream.trial_successes = saved.trial_successes;
  upstream.trial_faults = saved.trial_faults;
  upstream.suspicion = saved.suspicion;
  upstream.unreported_failures = saved.unreported_failures;
  upstream.unreported_slow = saved.unreported_slow;
  if (phase_before == upstream.phase)
    return;
  ++health.view_version;
  Action action;
  action.kind = ActionKind::kRestore;
  action.reason = Reason::kLoopLate;
  action.upstream = upstream.id;
  actions.push_back(action);
}

}  // namespace

bool MostUpstreamsOverloaded(const ServiceHealth& health, base::TimePoint now) {
  return MostUpstreamsMatch(health, now, IsOverloaded);
}

bool MostUpstreamsUnresponsive(const ServiceHealth& health,
                               base::TimePoint now) {
  return MostUpstreamsMatch(health, now, IsUnresponsive);
}

bool MostUpstreamsBad(const ServiceHealth& health, base::TimePoint now) {
  return MostUpstreamsMatch(health, now, IsBad);
}

bool AttributeToConnection(ServiceHealth& health,
                           std::uint32_t index,
                           base::TimePoint started,
                           base::TimePoint now,
                           Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  const bool closed_before =
      upstream.connections_closed_at != base::TimePoint{};
  if (closed_before && started < upstream.connections_closed_at)
    return true;
  if (closed_before &&
      now - upstream.connections_closed_at < kConnectionRenewalTime)
    return false;
  upstream.connections_closed_at = now;
  upstream.connection_suspect = true;
  Action action;
  action.kind = ActionKind::kCloseConnections;
  action.reason = Reason::kConnectionSilent;
  action.upstream = upstream.id;
  action.inputs.duration = now - started;
  actions.push_back(action);
  actions.push_back(MakeProbeAction(upstream, Reason::kConnectionSilent, now));
  return true;
}

void StartShedding(ServiceHealth& health,
                   base::TimePoint now,
                   Actions& actions) {
  ResetDetectorStates(health);
  health.shedding_until = now + kMinSheddingTime;
  if (health.shedding)
    return;
  health.shedding = true;
  Action action;
  action.kind = ActionKind::kShedLoad;
  action.reason = Reason::kServiceWide;
  actions.push_back(action);
}

void UpdateShedding(ServiceHealth& health,
                    base::TimePoint now,
                    Actions& actions) {
  if (now - health.last_load_check < kLoadCheckInterval)
    return;
  health.last_load_check = now;
  if (MostUpstreamsOverloaded(health, now)) {
    StartShedding(health, now, actions);
    return;
  }
  if (!health.shedding || now < health.shedding_until)
    return;
  health.shedding = false;
  Action action;
  action.kind = ActionKind::kEndShedLoad;
  action.reason = Reason::kServiceRecovered;
  actions.push_back(action);
}

void SaveEvidence(ServiceHealth& health, std::uint32_t index) {
  UpstreamState& upstream = health.upstreams[index];
  if (upstream.evidence_saved)
    return;
  upstream.evidence_saved = true;
  SavedEvidence saved;
  saved.upstream_index = index;
  saved.detector_state = upstream.detector_state;
  saved.phase = upstream.phase;
  saved.phase_since = upstream.phase_since;
  saved.hold_down_until = upstream.hold_down_until;
  saved.hold_down_level = upstream.hold_down_level;
  saved.trial_successes = upstream.trial_successes;
  saved.trial_faults = upstream.trial_faults;
  saved.suspicion = upstream.suspicion;
  saved.unreported_failures = upstream.unreported_failures;
  saved.unreported_slow = upstream.unreported_slow;
  health.saved_evidence.push_back(saved);
}

void ClearSavedEvidence(ServiceHealth& health) {
  for (const SavedEvidence& saved : health.saved_evidence)
    health.upstreams[saved.upstream_index].evidence_saved = false;
  health.saved_evidence.clear();
}

void DiscardEvidence(ServiceHealth& health,
                     Reason reason,
                     base::Duration lateness,
                     base::TimePoint now,
                     Actions& actions) {
  for (const SavedEvidence& saved : health.saved_evidence)
    RestoreEvidence(saved, health, actions);
  ClearSavedEvidence(health);
  health.unreported_losses.clear();
  for (auto& [request, in_flight] : health.in_flight)
    in_flight.overlapped_stall = true;
  health.ignore_until = now + kIgnoreTimeAfterStall;
  Action action;
  action.kind = ActionKind::kDiscardEvidence;
  action.reason = reason;
  action.inputs.duration = lateness;
  actions.push_back(action);
}

}  // namespace poplarfork::health
