#pragma once

#include "base/ids_type.h"
#include "base/rng_type.h"
#include "base/time_type.h"
#include "health/action_type.h"
#include "health/detector_type.h"
#include "health/event_type.h"
#include "health/routing_view_type.h"
#include "health/service_health_type.h"
#include "note/service_type.h"

namespace poplarfork::health {

// The health core decides to which upstreams of a service this daemon may send
// requests. A daemon avoids an upstream, that is, sends it no new requests,
// because of its own evidence. The coordinator of the service, which is one of
// the daemons, pools the evidence that the daemons report, and ejects an
// upstream for the whole fleet by an entry in the service's ledger in the
// store. An avoided or ejected upstream comes back after a hold-down, by a
// trial and a ramp. Upstreams are taken out of service only while the slots of
// the others stay at or above the floor of the service's policy.

// Builds the state of a service that has not been used yet. `detector` defaults
// to the CUSUM detector; the baselines are passed for comparison.
ServiceHealth BuildServiceHealth(const note::Service& service,
                                 const GroupMember& self,
                                 base::TimePoint now);
ServiceHealth BuildServiceHealth(const note::Service& service,
                                 const GroupMember& self,
                                 base::TimePoint now,
                                 const Detector& detector);

// Handles one event and returns the actions that it caused, in order. Events
// that name an unknown upstream are ignored.
Actions HandleEvent(ServiceHealth& health,
                    const Event& event,
                    base::TimePoint now,
                    base::Rng& rng);

// Returns the inputs that decide which upstreams may receive new requests.
// Entry i describes upstream i of `health.upstreams`. The result changes only
// when `health.view_version` changes and, for ramping upstreams, with time.
RoutingView BuildRoutingView(const ServiceHealth& health, base::TimePoint now);

// Returns true if requests with `fingerprint` must be refused.
bool IsRefused(const ServiceHealth& health,
               Fingerprint fingerprint,
               base::TimePoint now);

// Returns true if there is evidence against most upstreams of at least two of
// the services at the same time, so that this daemon itself is suspect. The
// caller must call this after each tick and then deliver `ObserverSuspected` to
// every service.
bool IsObserverSuspect(const std::vector<const ServiceHealth*>& services,
                       base::TimePoint now);

// Returns the member with the highest rendezvous weight for the service, or an
// empty id if there are no members.
base::DaemonId SelectCoordinator(const base::ServiceId& service,
                                 const std::vector<GroupMember>& members);

}  // namespace poplarfork::health
