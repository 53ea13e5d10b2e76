#pragma once

#include "health/detection_parameters_type.h"
#include "note/policy_type.h"

namespace poplarfork::health {

// Returns the detection parameters that `policy` selects.
DetectionParameters GetDetectionParameters(note::DetectionPolicy policy);

}  // namespace poplarfork::health
