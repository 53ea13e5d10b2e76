#pragma once

#include "cli/command_func.h"

namespace poplarfork::cli {

// Shows to which upstream a gateway would send a request, and why. Each shard
// that another gateway dispatches is asked for there, once.
CommandResult RunWhere(const Options& options, const Environment& environment);

}  // namespace poplarfork::cli
