#include "health/probe_func.h"

#include "base/hash_func.h"

namespace poplarfork::health {

namespace {

constexpr base::Duration kProbeInterval = std::chrono::seconds(5);
// An upstream that had a request from this daemon within this time needs no
// probe.
constexpr base::Duration kMinIdleTimeBeforeProbe = std::chrono::seconds(5);

bool IsProber(const ServiceHealth& health, const base::UpstreamId& upstream) {
  const std::string key = "probe/" + upstream.value;
  const std::uint64_t own_weight =
      base::RendezvousWeight(key, health.self.daemon.value);
  std::size_t higher_count = 0;
  for (const GroupMember& member : health.members) {
    if (member.daemon == health.self.daemon)
      continue;
    if (base::RendezvousWeight(key, member.daemon.value) > own_weight)
      ++higher_count;
  }
  return higher_count < kProbersPerUpstream;
}

}  // namespace

void AssignProbes(ServiceHealth& health) {
  for (UpstreamState& upstream : health.upstreams)
    upstream.probed_by_self = IsProber(health, upstream.id);
}

Action MakeProbeAction(UpstreamState& upstream,
                       Reason reason,
                       base::TimePoint now) {
  upstream.last_probe = now;
  Action action;
  action.kind = ActionKind::kProbe;
  action.reason = reason;
  action.upstream = upstream.id;
  return action;
}

void AddDueProbes(ServiceHealth& health,
                  base::TimePoint now,
                  Actions& actions) {
  if (now - health.last_probe_round < kProbeInterval)
    return;
  health.last_probe_round = now;
  for (UpstreamState& upstream : health.upstreams) {
    if (!upstream.probed_by_self || upstream.draining)
      continue;
    if (now - upstream.last_request < kMinIdleTimeBeforeProbe)
      continue;
    actions.push_back(MakeProbeAction(upstream, Reason::kSchedule, now));
  }
}

}  // namespace poplarfork::health
