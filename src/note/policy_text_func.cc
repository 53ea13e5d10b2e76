#include "note/policy_text_func.h"

namespace poplarfork::note {

DetectionPolicy ParseDetectionPolicy(std::string_view text) {
  if (text == "detection-fast")
    return DetectionPolicy::kFastDetection;
  return DetectionPolicy::kSureEjection;
}

Urgency ParseUrgency(std::string_view text) {
  if (text == "urgent")
    return Urgency::kUrgent;
  if (text == "bulk")
    return Urgency::kBulk;
  return Urgency::kNormal;
}

const char* DetectionPolicyName(DetectionPolicy policy) {
  if (policy == DetectionPolicy::kFastDetection)
    return "detection-fast";
  return "ejection-sure";
}

const char* UrgencyName(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kBulk:
      return "bulk";
  }
  return "normal";
}

}  // namespace poplarfork::note
