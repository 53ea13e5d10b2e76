#pragma once

#include "release/publish_type.h"

namespace poplarfork::release {

// Returns the name of the outcome in replies to operators and in log lines:
// "accepted", "rejected" or "unknown".
const char* OutcomeName(PublishOutcome outcome);

}  // namespace poplarfork::release
