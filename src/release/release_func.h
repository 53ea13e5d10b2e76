#pragma once

#include "base/rng_type.h"
#include "base/time_type.h"
#include "release/action_type.h"
#include "release/event_type.h"
#include "release/release_type.h"

namespace poplarfork::release {

// Returns the state of a daemon that starts at `now` without a configuration.
// The first event must be `Started`.
ReleaseState MakeReleaseState(const Member& self,
                              const ReleaseSettings& settings,
                              base::TimePoint now);

// Handles one event and returns the actions that the driver must execute, in
// order.
Actions HandleEvent(ReleaseState& state,
                    const Event& event,
                    base::TimePoint now,
                    base::Rng& rng);

}  // namespace poplarfork::release
