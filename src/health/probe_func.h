#pragma once

#include "base/time_type.h"
#include "health/action_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// Number of daemons of the group that probe each upstream.
constexpr std::size_t kProbersPerUpstream = 3;

// Decides which upstreams this daemon probes, by rendezvous hashing over the
// members of the group.
void AssignProbes(ServiceHealth& health);

// Returns the action that probes `upstream` and records the time of the probe.
Action MakeProbeAction(UpstreamState& upstream,
                       Reason reason,
                       base::TimePoint now);

// Adds probe actions every 5 s for the upstreams that are assigned to this
// daemon and get no requests from it.
void AddDueProbes(ServiceHealth& health, base::TimePoint now, Actions& actions);

}  // namespace poplarfork::health
