#pragma once

#include <string>

#include "cli/exit_code_type.h"

namespace poplarfork::cli {

// The output of a command and its exit code.
struct CommandResult {
  ExitCode exit_code = ExitCode::kOk;
  std::string standard_output;
  std::string standard_error;
};

}  // namespace poplarfork::cli
