#pragma once

#include <cstdint>

#include "base/rng_type.h"
#include "base/time_type.h"
#include "health/action_type.h"
#include "health/event_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// Records a request that is now in flight.
void HandleRequestStarted(ServiceHealth& health,
                          const RequestStarted& event,
                          base::TimePoint now);

// Attributes the outcome of a request that ended and evaluates its upstream.
void HandleRequestFinished(ServiceHealth& health,
                           const RequestFinished& event,
                           base::TimePoint now,
                           base::Rng& rng,
                           Actions& actions);

// Handles the result of a probe. A failed probe counts as a request without a
// response. A passed probe only clears the flag `connection_suspect`.
void HandleProbeFinished(ServiceHealth& health,
                         const ProbeFinished& event,
                         base::TimePoint now,
                         base::Rng& rng,
                         Actions& actions);

// Counts the elapsed times of the requests in flight as evidence.
void ObserveRequestsInFlight(ServiceHealth& health,
                             base::TimePoint now,
                             base::Rng& rng,
                             Actions& actions);

// Avoids upstream `index` if `result` shows it as suspect, unless it is already
// out of service or most upstreams are overloaded. In the latter case, load
// shedding starts.
void AvoidIfSuspect(ServiceHealth& health,
                    std::uint32_t index,
                    const DetectionResult& result,
                    base::TimePoint now,
                    base::Rng& rng,
                    Actions& actions);

}  // namespace poplarfork::health
