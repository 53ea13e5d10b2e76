#pragma once

#include <cstdint>

#include "base/time_type.h"
#include "health/observation_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// A request is slow if it takes at least this many times as long as is typical
// for the service.
constexpr double kSlowLatencyRatio = 3;
// A request that is faster than this is never slow, whatever its ratio to the
// typical latency.
constexpr base::Duration kMinSlowLatency = std::chrono::milliseconds(5);

// Shares of bad requests at a service's upstreams other than the one that is
// evaluated, 0 to 1.
struct BaseRates {
  double failed_response = 0;
  double transport_failure = 0;
  double slow = 0;
};

// Returns the base rates of the upstreams other than `index`. Each rate is the
// higher one of the short-term and the long-term estimate, so that a failure of
// the whole service is not attributed to one of its upstreams. The rates are
// those of the data centre with the lowest rates, so that an unreachable data
// centre does not count as normal.
BaseRates BaseRatesExcluding(const ServiceHealth& health,
                             std::uint32_t index,
                             base::TimePoint now);

// Returns the base rates of all upstreams, computed in the same way.
BaseRates BaseRatesOfAllUpstreams(const ServiceHealth& health,
                                  base::TimePoint now);

// Assigns upstream `index` to the counts of its data centre and creates them if
// they do not exist.
void AssignDataCentreCounts(ServiceHealth& health, std::uint32_t index);

// Adds an observation of upstream `index` to its counts and to those of its
// data centre.
void CountRequest(ServiceHealth& health,
                  std::uint32_t index,
                  const UpstreamObservation& observation,
                  base::TimePoint now);

// Subtracts the counts of upstream `index` from those of its data centre and
// resets them, because a faulty upstream must not influence the base rates.
void SubtractUpstreamCounts(ServiceHealth& health,
                            std::uint32_t index,
                            base::TimePoint now);

// Returns the requests per second that this daemon sends to the service.
double RequestRate(const ServiceHealth& health, base::TimePoint now);

// Returns the natural logarithm of the ratio of `latency` to the typical
// latency of the upstreams other than `index`; 0 if either is unknown.
double LogLatencyRatio(const ServiceHealth& health,
                       std::uint32_t index,
                       base::Duration latency);

// Returns true if `latency` is slow for upstream `index`.
bool IsSlow(const ServiceHealth& health,
            std::uint32_t index,
            base::Duration latency);

// Adds the latency of a finished request to the mean of upstream `index` and to
// the variance of the service.
void AddLatencySample(ServiceHealth& health,
                      std::uint32_t index,
                      base::Duration latency);

// Recomputes the typical latency at most once a second.
void RefreshLatencyReference(ServiceHealth& health, base::TimePoint now);

}  // namespace poplarfork::health
