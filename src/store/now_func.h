#pragma once

#include "base/time_type.h"

namespace poplarfork::store {

// Returns the current time of the monotonic clock.
base::TimePoint Now();

}  // namespace poplarfork::store
