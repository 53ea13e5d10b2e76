#pragma once

#include <string>

#include "base/result_type.h"
#include "settings/settings_type.h"

namespace poplarfork::settings {

// Parses settings in YAML. An error names `file_name`, the line, the key and
// the values that are accepted. Only the first error is returned.
base::Result<Settings> ParseSettings(const std::string& text,
                                     const std::string& file_name);

// Reads and parses the settings file at `path`.
base::Result<Settings> LoadSettings(const std::string& path);

}  // namespace poplarfork::settings
