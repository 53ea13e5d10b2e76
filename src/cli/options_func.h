#pragma once

#include <string>
#include <vector>

#include "base/result_type.h"
#include "cli/options_type.h"

namespace poplarfork::cli {

// Returns the program's usage text.
std::string UsageText();

// Checks that every argument that starts with "-" is a flag of the program and
// has a value. The check comes before Abseil parses the flags, because Abseil
// would end the process with exit code 1, which means "rejected" here. Fails
// with kUnknownKey or kMissing.
base::Result<void> CheckFlags(const std::vector<std::string>& arguments);

// Returns the options for the positional arguments (without the name of the
// program) and the flags. Fails with kMissing, kUnknownKey or kOutOfRange.
base::Result<Options> ParseOptions(const std::vector<std::string>& positional,
                                   const FlagValues& flags);

}  // namespace poplarfork::cli
