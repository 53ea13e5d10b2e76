#pragma once

#include "gateway/settings_type.h"
#include "settings/entry_type.h"

namespace poplarfork::gateway {

// Returns the entries of the settings file of a gateway with their limits and
// defaults.
const settings::EntryTables<Settings>& GetSettingsEntries();

}  // namespace poplarfork::gateway
