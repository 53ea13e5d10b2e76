#pragma once

#include <membership.pb.h>

#include "base/rng_type.h"
#include "base/time_type.h"
#include "membership/actions_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Sends a probe to the next member that is to be probed.
void ProbeNextNeighbour(Membership& membership,
                        base::TimePoint now,
                        base::Rng& rng,
                        Actions& actions);

// Handles the probes whose deadline has passed: after a direct probe, asks
// other members to probe the target; after an indirect one, lets the probe
// fail.
void ExpireProbes(Membership& membership,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions);

// Acknowledges a probe. `sender` must have been merged into the list before.
void HandleProbe(Membership& membership,
                 const base::DaemonId& sender,
                 const proto::Probe& probe,
                 base::TimePoint now,
                 Actions& actions);

// Probes the requested target on behalf of the sender, unless
// `kMaxRelayedProbes` such probes are open.
void HandleIndirectProbe(Membership& membership,
                         const base::DaemonId& sender,
                         const proto::Probe& request,
                         base::TimePoint now,
                         Actions& actions);

// Handles the ack to an open probe. If the probe was relayed, forwards the ack
// to the daemon that requested it.
void HandleAck(Membership& membership,
               const base::DaemonId& sender,
               const proto::Probe& ack,
               base::TimePoint now,
               Actions& actions);

}  // namespace poplarfork::membership
