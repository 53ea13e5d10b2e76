#pragma once

#include "base/time_type.h"
#include "dispatch/duration_histogram_type.h"

namespace poplarfork::dispatch {

// Counts one duration. The weight of earlier ones decays by half every few
// hundred durations.
void AddDuration(DurationHistogram& histogram, base::Duration duration);

}  // namespace poplarfork::dispatch
