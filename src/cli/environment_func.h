#pragma once

#include "cli/command_func.h"

namespace poplarfork::cli {

// Returns the environment with real daemons, files and random numbers.
Environment MakeEnvironment();

}  // namespace poplarfork::cli
