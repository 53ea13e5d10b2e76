#pragma once

#include "settings/entry_type.h"
#include "settings/settings_type.h"

namespace poplarfork::settings {

// Returns the entries of the settings file of a daemon, with their limits and
// default values.
const EntryTables<Settings>& GetSettingsEntries();

}  // namespace poplarfork::settings
