#include "health/attribution_func.h"

#include <map>

#include "health/probe_func.h"

namespace poplarfork::health {

namespace {

// Requests and failures count as recent for this time.
constexpr base::Duration kRecent = std::chrono::seconds(2);
// A majority of bad upstreams needs at least this many of them.
constexpr std::uint32_t kMinimumBad = 3;
// A data centre counts as healthy if at least this many of its upstreams were
// used recently and at most a fifth of those are bad.
constexpr std::uint32_t kMinimumUsedInDataCentre = 2;
constexpr std::uint32_t kGoodDivisor = 5;
// For this time after the pooled connections of an upstream were closed, a
// request without a response on a reused connection counts against the
// upstream.
constexpr base::Duration kConnectionRenewal = std::chrono::seconds(10);
constexpr base::Duration kLoadCheckInterval = std::chrono::milliseconds(500);
// Load shedding lasts for this time after most upstreams were last overloaded.
constexpr base::Duration kSheddingTime = std::chrono::seconds(2);
// Events that were delayed by a stall of the event loop arrive in the same loop
// iteration as the late tick or shortly after it. Evidence is ignored for this
// time after the tick.
constexpr base::Duration kIgnoreAfterStall = std::chrono::milliseconds(100);

struct UsedCount {
  std::uint32_t used = 0;
  std::uint32_t bad = 0;
};

bool IsRecent(base::TimePoint at, base::TimePoint now) {
  return at != base::TimePoint{} && now - at < kRecent;
}

using IsBadFunction = bool (*)(const UpstreamState&, base::TimePoint);

bool IsOverloaded(const UpstreamState& upstream, base::TimePoint now) {
  return IsRecent(upstream.last_bad_answer, now);
}

bool IsSilent(const UpstreamState& upstream, base::TimePoint now) {
  return IsRecent(upstream.last_silence, now);
}

bool IsBad(const UpstreamState& upstream, base::TimePoint now) {
  return IsOverloaded(upstream, now) || IsSilent(upstream, now);
}

bool IsGoodDataCentre(const UsedCount& count) {
  return count.used >= kMinimumUsedInDataCentre &&
         count.bad * kGoodDivisor <= count.used;
}

bool MostAre(const ServiceHealth& health,
             base::TimePoint now,
             IsBadFunction is_bad) {
  UsedCount all;
  for (const UpstreamState& upstream : health.upstreams) {
    if (!IsRecent(upstream.last_request, now))
      continue;
    ++all.used;
    all.bad += is_bad(upstream, now) ? 1 : 0;
  }
  if (all.bad < kMinimumBad || all.bad * 2 <= all.used)
    return false;
  std::map<base::DataCentreId, UsedCount> by_data_centre;
  for (const UpstreamState& upstream : health.upstreams) {
    if (!IsRecent(upstream.last_request, now))
      continue;
    UsedCount& count = by_data_centre[upstream.data_centre];
    ++count.used;
    count.bad += is_bad(upstream, now) ? 1 : 0;
  }
  for (const auto& [data_centre, count] : by_data_centre) {
    if (IsGoodDataCentre(count))
      return false;
  }
  return true;
}

void ResetTests(ServiceHealth& health) {
  for (UpstreamState& upstream : health.upstreams) {
    upstream.tests = TestState{};
    upstream.unreported_failures = 0;
    upstream.unreported_slow = 0;
  }
}

void Restore(const SavedEvidence& saved,
             ServiceHealth& health,
             Actions& actions) {
  UpstreamState& upstream = health.upstreams[saved.upstream];
  const Phase before = upstream.phase;
  upstream.tests = saved.tests;
  upstream.phase = saved.phase;
  upstream.phase_since = saved.phase_since;
  upstream.hold_until = saved.hold_until;
  upstream.hold_level = saved.hold_level;
  upstream.trial_successes = saved.trial_successes;
  upstream.trial_faults = saved.trial_faults;
  upstream.suspicion = saved.suspicion;
  upstream.unreported_failures = saved.unreported_failures;
  upstream.unreported_slow = saved.unreported_slow;
  if (before == upstream.phase)
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
  return MostAre(health, now, IsOverloaded);
}

bool MostUpstreamsSilent(const ServiceHealth& health, base::TimePoint now) {
  return MostAre(health, now, IsSilent);
}

bool MostUpstreamsBad(const ServiceHealth& health, base::TimePoint now) {
  return MostAre(health, now, IsBad);
}

bool AttributeToConnection(ServiceHealth& health,
                           std::uint32_t index,
                           base::TimePoint started,
                           base::TimePoint now,
                           Actions& actions) {
  UpstreamState& upstream = health.upstreams[index];
  const bool closed_before = upstream.connections_closed != base::TimePoint{};
  if (closed_before && started < upstream.connections_closed)
    return true;
  if (closed_before && now - upstream.connections_closed < kConnectionRenewal)
    return false;
  upstream.connections_closed = now;
  upstream.connection_suspect = true;
  Action action;
  action.kind = ActionKind::kCloseConnections;
  action.reason = Reason::kConnectionSilent;
  action.upstream = upstream.id;
  action.inputs.duration = now - started;
  actions.push_back(action);
  actions.push_back(ProbeNow(upstream, Reason::kConnectionSilent, now));
  return true;
}

void StartShedding(ServiceHealth& health,
                   base::TimePoint now,
                   Actions& actions) {
  ResetTests(health);
  health.shedding_until = now + kSheddingTime;
  if (health.shedding)
    return;
  health.shedding = true;
  Action action;
  action.kind = ActionKind::kShedLoad;
  action.reason = Reason::kServiceWide;
  actions.push_back(action);
}

void CheckLoad(ServiceHealth& health, base::TimePoint now, Actions& actions) {
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
  if (upstream.saved)
    return;
  upstream.saved = true;
  SavedEvidence saved;
  saved.upstream = index;
  saved.tests = upstream.tests;
  saved.phase = upstream.phase;
  saved.phase_since = upstream.phase_since;
  saved.hold_until = upstream.hold_until;
  saved.hold_level = upstream.hold_level;
  saved.trial_successes = upstream.trial_successes;
  saved.trial_faults = upstream.trial_faults;
  saved.suspicion = upstream.suspicion;
  saved.unreported_failures = upstream.unreported_failures;
  saved.unreported_slow = upstream.unreported_slow;
  health.saved.push_back(saved);
}

void AcceptEvidence(ServiceHealth& health) {
  for (const SavedEvidence& saved : health.saved)
    health.upstreams[saved.upstream].saved = false;
  health.saved.clear();
}

void DiscardEvidence(ServiceHealth& health,
                     Reason reason,
                     base::Duration lateness,
                     base::TimePoint now,
                     Actions& actions) {
  for (const SavedEvidence& saved : health.saved)
    Restore(saved, health, actions);
  AcceptEvidence(health);
  health.unreported_losses.clear();
  for (auto& [request, in_flight] : health.in_flight)
    in_flight.stalled = true;
  health.ignore_until = now + kIgnoreAfterStall;
  Action action;
  action.kind = ActionKind::kDiscardEvidence;
  action.reason = reason;
  action.inputs.duration = lateness;
  actions.push_back(action);
}

}  // namespace poplarfork::health
