#pragma once

#include <string>

#include "base/result_type.h"
#include "replay/expectation_type.h"

namespace poplarfork::replay {

// Reads the expected decisions of a trace from a YAML file. The error of a
// failure names the key that is missing, unknown or malformed.
base::Result<Expectation> ReadExpectation(const std::string& file);

}  // namespace poplarfork::replay
