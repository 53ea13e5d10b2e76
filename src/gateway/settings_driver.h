#pragma once

#include <string>

#include "base/result_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Loads the settings file when the process starts. Errors name the file, the
// line and the key.
base::Result<void> LoadSettings(Gateway& gateway, const std::string& path);

// Loads the settings file again. Changed limits, the seeds and the address of
// the store take effect at once; all other changes take effect when the process
// starts again. If the file is invalid, the settings in force stay unchanged.
// `cause` says in the log why the file was loaded.
void ReloadSettings(Gateway& gateway, const char* cause);

// Checks the settings file for changes at intervals and reloads it.
void WatchSettings(Gateway& gateway);

}  // namespace poplarfork::gateway
