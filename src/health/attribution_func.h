#pragma once

#include <cstdint>

#include "base/time_type.h"
#include "health/action_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// Returns true if more than half of the upstreams that were used in the last
// 2 s, and at least 3, returned slow or failed responses. Returns false if the
// upstreams of any one data centre are healthy, because then the network path
// to the other data centres is at fault.
bool MostUpstreamsOverloaded(const ServiceHealth& health, base::TimePoint now);

// Like `MostUpstreamsOverloaded`, for requests that got no response.
bool MostUpstreamsUnresponsive(const ServiceHealth& health,
                               base::TimePoint now);

// Like `MostUpstreamsOverloaded`, for bad requests of either kind.
bool MostUpstreamsBad(const ServiceHealth& health, base::TimePoint now);

// Returns true if a transport failure on a reused connection of upstream
// `index` is attributed to the connection instead of the upstream. The first
// time for a set of pooled connections, it adds the actions that close them and
// probe the upstream on a new connection.
bool AttributeToConnection(ServiceHealth& health,
                           std::uint32_t index,
                           base::TimePoint started,
                           base::TimePoint now,
                           Actions& actions);

// Starts load shedding when most upstreams are overloaded and ends it after
// they have recovered.
void UpdateShedding(ServiceHealth& health,
                    base::TimePoint now,
                    Actions& actions);

// Starts or extends load shedding and discards the evidence against all
// upstreams.
void StartShedding(ServiceHealth& health,
                   base::TimePoint now,
                   Actions& actions);

// Saves the state of upstream `index` that requests change. Only the first call
// between two ticks saves it.
void SaveEvidence(ServiceHealth& health, std::uint32_t index);

// Deletes the saved state, so that the evidence collected up to now can no
// longer be discarded.
void ClearSavedEvidence(ServiceHealth& health);

// Restores the state that was saved since the last tick and ignores the
// requests in flight, because their elapsed times include a delay that this
// daemon itself caused.
void DiscardEvidence(ServiceHealth& health,
                     Reason reason,
                     base::Duration lateness,
                     base::TimePoint now,
                     Actions& actions);

}  // namespace poplarfork::health
