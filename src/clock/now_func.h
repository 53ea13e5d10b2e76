#pragma once

#include "base/time_type.h"

namespace poplarfork::clock {

// Returns the time of the monotonic clock that includes suspension. Drivers
// pass it to the decision cores, which read no clock themselves.
base::TimePoint Now();

}  // namespace poplarfork::clock
