#include "gateway/settings_driver.h"

#include <sys/stat.h>

#include "base/error_func.h"
#include "gateway/log_func.h"
#include "gateway/settings_table.h"
#include "settings/table_reader.h"

namespace poplarfork::gateway {

namespace {

// Interval at which the settings file is checked for changes.
constexpr base::Duration kCheckInterval = std::chrono::seconds(2);

// Returns the modification time of a file in nanoseconds since the epoch, or 0
// if the file cannot be read.
std::int64_t ChangeTime(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0)
    return 0;
  return status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec;
}

// Copies the settings that concern the dispatcher to it.
void ApplyBounds(Gateway& gateway) {
  dispatch::Settings& bounds = gateway.dispatcher.settings;
  bounds.retry_ratio = gateway.settings.retry_ratio;
  bounds.retry_allowance =
      static_cast<double>(gateway.settings.retry_allowance);
  bounds.floor_share = gateway.settings.floor_share;
}

}  // namespace

base::Result<void> LoadSettings(Gateway& gateway, const std::string& path) {
  auto loaded = settings::reader::LoadFile(SettingsEntries(), path);
  if (!loaded)
    return loaded.error();
  gateway.settings = loaded.value();
  gateway.settings_path = path;
  gateway.settings_changed_at = ChangeTime(path);
  ApplyBounds(gateway);
  return boost::outcome_v2::success();
}

void ReloadSettings(Gateway& gateway, const char* cause) {
  gateway.settings_changed_at = ChangeTime(gateway.settings_path);
  const auto loaded =
      settings::reader::LoadFile(SettingsEntries(), gateway.settings_path);
  if (!loaded) {
    Log(gateway, "reload_failed",
        {{"cause", cause}, {"error", base::ToString(loaded.error())}});
    return;
  }
  const Settings& read = loaded.value();
  gateway.settings.grace_time = read.grace_time;
  gateway.settings.address_ttl_limit = read.address_ttl_limit;
  gateway.settings.retry_ratio = read.retry_ratio;
  gateway.settings.retry_allowance = read.retry_allowance;
  gateway.settings.floor_share = read.floor_share;
  gateway.settings.seeds = read.seeds;
  gateway.settings.store_address = read.store_address;
  ApplyBounds(gateway);
  Log(gateway, "reloaded",
      {{"cause", cause}, {"store_address", read.store_address}});
}

void WatchSettings(Gateway& gateway) {
  gateway.settings_timer.expires_after(kCheckInterval);
  gateway.settings_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        if (ChangeTime(gateway.settings_path) != gateway.settings_changed_at)
          ReloadSettings(gateway, "file changed");
        WatchSettings(gateway);
      });
}

}  // namespace poplarfork::gateway
