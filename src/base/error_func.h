#pragma once

#include <string>

#include "base/error_code_type.h"
#include "base/error_type.h"

namespace poplarfork::base {

// Returns the name of `step` as it appears in logs and error messages.
const char* StepName(Step step);

// Builds an error whose code has Poplarfork's own error category. `peer` and
// `detail` are those of `Error`.
Error MakeError(ErrorCode code,
                Step step,
                std::string peer,
                std::string detail);

// Returns the error as one line: "step peer: code: detail". An empty peer or
// detail is left out.
std::string ToString(const Error& error);

}  // namespace poplarfork::base
