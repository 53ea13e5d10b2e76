#pragma once

#include "health/detector_type.h"

namespace poplarfork::health {

// Returns the detector that daemons use by default: a CUSUM test over outcomes
// and one over latencies, with attribution.
Detector CusumDetector();

}  // namespace poplarfork::health
