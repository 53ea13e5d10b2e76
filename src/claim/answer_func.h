#pragma once

#include "claim/answer_type.h"

namespace poplarfork::claim {

// Returns the value of the header Poplarfork-Outcome.
const char* OutcomeName(Outcome outcome);

// Returns the name of the reason that problem bodies and logs contain.
const char* ReasonName(Reason reason);

}  // namespace poplarfork::claim
