#include "health/detection_parameters_func.h"

namespace poplarfork::health {

namespace {

// At a base rate of 0.5%, a failed response adds about 4.6 nats and a request
// without a response about 6.2. Three or four failures nearly in a row reach
// 17, and four or five reach 20.
DetectionParameters FastDetectionParameters() {
  DetectionParameters parameters;
  parameters.avoid_threshold = 17;
  parameters.trial_threshold = 8;
  parameters.fleet_threshold = 16;
  parameters.min_avoid_span = base::Duration(0);
  parameters.min_fleet_span = std::chrono::milliseconds(400);
  parameters.required_trial_successes = 3;
  return parameters;
}

DetectionParameters SureEjectionParameters() {
  DetectionParameters parameters;
  parameters.avoid_threshold = 20;
  parameters.trial_threshold = 12;
  parameters.fleet_threshold = 24;
  parameters.min_avoid_span = std::chrono::seconds(1);
  parameters.min_fleet_span = std::chrono::milliseconds(1500);
  parameters.required_trial_successes = 5;
  return parameters;
}

}  // namespace

DetectionParameters GetDetectionParameters(note::DetectionPolicy policy) {
  if (policy == note::DetectionPolicy::kFastDetection)
    return FastDetectionParameters();
  return SureEjectionParameters();
}

}  // namespace poplarfork::health
