#pragma once

#include <string>

#include "health/action_type.h"

namespace poplarfork::replay {

// Returns a decision as one line with its reason and all inputs.
// Floating-point numbers are written in hexadecimal, so that two lines are
// equal only if the numbers are equal bit for bit.
std::string FormatDecision(const health::Action& action);

}  // namespace poplarfork::replay
