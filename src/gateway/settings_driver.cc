#include "gateway/settings_driver.h"

#include <sys/stat.h>

#include "base/error_func.h"
#include "gateway/log_func.h"
#include "gateway/memory_driver.h"
#include "gateway/settings_table.h"
#include "settings/table_reader.h"

namespace poplarfork::gateway {

namespace {

// Interval at which the settings file is checked for changes.
constexpr base::Duration kSettingsCheckInterval = std::chrono::seconds(2);

// Returns the modification time of a file in nanoseconds since the epoch, or 0
// if the file cannot be read.
std::int64_t GetModificationTimeNs(const std::string& path) {
  struct stat file_status {};
  if (::stat(path.c_str(), &file_status) != 0)
    return 0;
  return file_status.st_mtim.tv_sec * 1'000'000'000LL +
         file_status.st_mtim.tv_nsec;
}

// Copies the settings that concern the dispatcher to it.
void ApplyDispatchSettings(Gateway& gateway) {
  dispatch::Settings& dispatch_settings = gateway.dispatcher.settings;
  dispatch_settings.retry_ratio = gateway.settings.retry_ratio;
  dispatch_settings.retry_allowance =
      static_cast<double>(gateway.settings.retry_allowance);
  dispatch_settings.hedge_share = gateway.settings.hedge_share;
  dispatch_settings.floor_share = gateway.settings.floor_share;
}

// Copies the settings that concern the connections of callers to their server.
void ApplyCallerSettings(Gateway& gateway) {
  if (!gateway.front_server)
    return;
  edge::Limits limits = gateway.front_server->GetLimits();
  limits.pipeline_limit =
      static_cast<std::size_t>(gateway.settings.pipeline_limit);
  gateway.front_server->SetLimits(limits);
}

}  // namespace

base::Result<void> LoadSettings(Gateway& gateway, const std::string& path) {
  auto loaded = settings::reader::LoadFile(GetSettingsEntries(), path);
  if (!loaded)
    return loaded.error();
  gateway.settings = loaded.value();
  gateway.settings_path = path;
  gateway.settings_mtime_ns = GetModificationTimeNs(path);
  ApplyDispatchSettings(gateway);
  return boost::outcome_v2::success();
}

void ReloadSettings(Gateway& gateway, const char* cause) {
  gateway.settings_mtime_ns = GetModificationTimeNs(gateway.settings_path);
  const auto loaded =
      settings::reader::LoadFile(GetSettingsEntries(), gateway.settings_path);
  if (!loaded) {
    Log(gateway, "reload_failed",
        {{"cause", cause}, {"error", base::ToString(loaded.error())}});
    return;
  }
  const Settings& reloaded = loaded.value();
  gateway.settings.grace_time = reloaded.grace_time;
  gateway.settings.address_ttl_limit = reloaded.address_ttl_limit;
  gateway.settings.retry_ratio = reloaded.retry_ratio;
  gateway.settings.retry_allowance = reloaded.retry_allowance;
  gateway.settings.hedge_share = reloaded.hedge_share;
  gateway.settings.floor_share = reloaded.floor_share;
  gateway.settings.key_revocation_limit = reloaded.key_revocation_limit;
  gateway.settings.strict_key_revocation = reloaded.strict_key_revocation;
  gateway.settings.pipeline_limit = reloaded.pipeline_limit;
  gateway.settings.memory_limit_mb = reloaded.memory_limit_mb;
  gateway.settings.seeds = reloaded.seeds;
  gateway.settings.store_address = reloaded.store_address;
  ApplyDispatchSettings(gateway);
  ApplyCallerSettings(gateway);
  ApplyMemoryLimit(gateway);
  Log(gateway, "reloaded",
      {{"cause", cause}, {"store_address", reloaded.store_address}});
}

void WatchSettings(Gateway& gateway) {
  gateway.settings_timer.expires_after(kSettingsCheckInterval);
  gateway.settings_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        if (GetModificationTimeNs(gateway.settings_path) !=
            gateway.settings_mtime_ns)
          ReloadSettings(gateway, "file changed");
        WatchSettings(gateway);
      });
}

}  // namespace poplarfork::gateway
