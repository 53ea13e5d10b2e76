#pragma once

#include <cstdint>

#include "base/time_type.h"
#include "load/concurrency_limit_type.h"

namespace poplarfork::load {

// Returns a limit with the initial value `max`, which must be at least 1.
ConcurrencyLimit NewConcurrencyLimit(std::uint32_t max, base::TimePoint now);

// Sets the upper bound of the limit after a change of the configuration or of
// the group.
void SetConcurrencyMax(ConcurrencyLimit& limit, std::uint32_t max);

// Adapts the limit to a finished request. `latency` is the time to the first
// byte of the response, so that long downloads do not count as slow.
// `in_flight` is the number of requests that this daemon has in flight at the
// upstream, including this one. `overloaded` is true if the upstream refused
// the work or the request timed out. The limit decreases at most once per 500
// ms.
void OnLatency(ConcurrencyLimit& limit,
               base::Duration latency,
               std::uint32_t in_flight,
               bool overloaded,
               base::TimePoint now);

// Returns the number of requests that may be in flight, at least 1.
std::uint32_t CurrentLimit(const ConcurrencyLimit& limit);

}  // namespace poplarfork::load
