#pragma once

#include "base/time_type.h"

namespace poplarfork::standin {

// Returns the time of the monotonic clock.
base::TimePoint Now();

}  // namespace poplarfork::standin
