#pragma once

#include <string_view>

#include "note/policy_type.h"

namespace poplarfork::note {

// Returns the policy for "detection-fast" or "ejection-sure", and the default
// policy for any other text.
DetectionPolicy ParseDetectionPolicy(std::string_view text);

// Returns the urgency for "urgent", "normal" or "bulk", and the default urgency
// for any other text.
Urgency ParseUrgency(std::string_view text);

// Returns the word that release notes use for the policy.
const char* DetectionPolicyName(DetectionPolicy policy);

// Returns the word that release notes use for the urgency.
const char* UrgencyName(Urgency urgency);

}  // namespace poplarfork::note
