#pragma once

#include "health/detector_type.h"

namespace poplarfork::health {

// Returns the baseline detector for which an upstream is suspect after 5
// failures in a row.
Detector ConsecutiveFailuresDetector();

// Returns the baseline detector that evaluates success rates every 10 s. An
// upstream is suspect if its success rate is more than 1.9 standard deviations
// below the mean of the upstreams with at least 5 requests in the interval. At
// least 5 upstreams must have that many requests.
Detector SuccessRateDetector();

}  // namespace poplarfork::health
