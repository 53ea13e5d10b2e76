#pragma once

#include <cstdint>

#include "base/rng_type.h"
#include "base/time_type.h"
#include "health/action_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// The first hold-down. It doubles with each further avoidance or ejection, up
// to the maximum.
constexpr base::Duration kInitialHoldDown = std::chrono::seconds(10);
constexpr base::Duration kMaxHoldDown = std::chrono::minutes(10);
// After this time of good service, the next hold-down is halved.
constexpr base::Duration kGoodServiceTime = std::chrono::minutes(10);
// Time in which the weight of a ramping upstream rises to its full share.
constexpr base::Duration kRampTime = std::chrono::seconds(10);

// Returns the hold-down after `level` doublings.
base::Duration HoldDownDuration(std::uint32_t level);

// Returns the share of its usual requests that a ramping upstream gets, 0.1 to
// 1.
double RampWeight(base::Duration since_start);

// Sets the listed, remaining and required slots of the service in `inputs`,
// according to this daemon's current routing.
void FillSlotInputs(const ServiceHealth& health,
                    base::TimePoint now,
                    DecisionInputs& inputs);

// Stops sending new requests to upstream `index` and starts its hold-down.
void AvoidUpstream(ServiceHealth& health,
                   std::uint32_t index,
                   Reason reason,
                   double suspicion,
                   base::TimePoint now,
                   base::Rng& rng,
                   Actions& actions);

// Starts a trial, in which upstream `index` takes one request at a time.
void StartTrial(ServiceHealth& health,
                std::uint32_t index,
                Reason reason,
                base::TimePoint now,
                Actions& actions);

// Starts a ramp, in which the weight of upstream `index` rises from a tenth to
// its full share.
void StartRamp(ServiceHealth& health,
               std::uint32_t index,
               Reason reason,
               base::TimePoint now,
               Actions& actions);

// Faults that a failure and a slow response count during a trial. The trial
// fails when their sum reaches `kFaultsPerFailure`. A single slow response does
// not make it fail, because healthy upstreams give one occasionally.
constexpr std::uint32_t kFaultsPerFailure = 2;
constexpr std::uint32_t kFaultsPerSlowRequest = 1;

// Counts a request that ended during a trial. `faults` is 0 for a good
// response.
void CountTrialRequest(ServiceHealth& health,
                       std::uint32_t index,
                       std::uint32_t faults,
                       base::TimePoint now,
                       base::Rng& rng,
                       Actions& actions);

// Counts a request that ended at an avoided upstream that the floor keeps in
// service. Enough good responses end the avoidance, because otherwise the
// upstream would be removed because of old evidence as soon as the floor allows
// it.
void CountKeptRequest(ServiceHealth& health,
                      std::uint32_t index,
                      bool good,
                      base::TimePoint now,
                      Actions& actions);

// Ends hold-downs, trials and ramps whose time is over, and halves the
// next hold-down of upstreams with good service.
void AdvanceRecoveries(ServiceHealth& health,
                       base::TimePoint now,
                       Actions& actions);

// Updates which upstreams the floor keeps in service and adds an action for
// each that it has begun to keep.
void UpdateKeptForFloor(ServiceHealth& health,
                        base::TimePoint now,
                        Actions& actions);

// Adds upstream `index` to the upstreams that each tick checks, unless it is
// among them already.
void AddRecovering(ServiceHealth& health, std::uint32_t index);

}  // namespace poplarfork::health
