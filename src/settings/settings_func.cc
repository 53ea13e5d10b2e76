#include "settings/settings_func.h"

#include "settings/settings_table.h"
#include "settings/table_reader.h"

namespace poplarfork::settings {

base::Result<Settings> ParseSettings(const std::string& text,
                                     const std::string& file_name) {
  return reader::ParseText(GetSettingsEntries(), text, file_name);
}

base::Result<Settings> LoadSettings(const std::string& path) {
  return reader::LoadFile(GetSettingsEntries(), path);
}

}  // namespace poplarfork::settings
