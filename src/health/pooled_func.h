#pragma once

#include <cstdint>

#include "base/time_type.h"
#include "health/action_type.h"
#include "health/pooled_state_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// Result of evaluating the pooled evidence about one upstream.
struct PooledResult {
  // `kObserversAgree` if enough observers see a fault, `kOneLocation` if only
  // some data centres see it, and `kNone` if there is no fault.
  Reason reason = Reason::kNone;
  // Highest score of any data centre, in nats.
  double score = 0;
  std::uint32_t observers = 0;
  std::uint32_t data_centres = 0;
};

// Adds the bad requests of a report to the pooled tests. Each pooled test is a
// CUSUM test over the times of bad requests, compared with the rate expected of
// a healthy upstream, so that good requests need not be reported.
void AddPooledEvidence(ServiceHealth& health,
                       const HealthReport& report,
                       base::TimePoint now);

// Evaluates the evidence about upstream `index`. A data centre sees the fault
// if its test has reached the threshold or if two of its daemons (or its only
// daemon) avoid the upstream. At least two data centres must see the fault,
// including the upstream's own if the group has members there, because
// otherwise the network path between data centres may be at fault. In a group
// with a single data centre, two observers are enough.
PooledResult EvaluatePooledEvidence(const ServiceHealth& health,
                                    std::uint32_t index,
                                    base::TimePoint now);

// Returns true if there is pooled evidence against more than half of the
// upstreams, and against at least 3.
bool IsPooledEvidenceServiceWide(const ServiceHealth& health,
                                 base::TimePoint now);

// Removes evidence that is too old to count.
void ExpirePooledEvidence(ServiceHealth& health, base::TimePoint now);

}  // namespace poplarfork::health
