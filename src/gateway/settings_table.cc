#include "gateway/settings_table.h"

#include <array>

namespace poplarfork::gateway {

namespace {

using settings::TextFormat;
using Number = settings::IntegerEntry<Settings>;
using Decimal = settings::DecimalEntry<Settings>;
using Time = settings::DurationEntry<Settings>;
using Text = settings::TextEntry<Settings>;
using List = settings::ListEntry<Settings>;
using Switch = settings::BooleanEntry<Settings>;

constexpr base::Duration kMillisecond = std::chrono::milliseconds(1);
constexpr base::Duration kSecond = std::chrono::seconds(1);

constexpr std::array kIntegerEntries = {
    Number{"retry_allowance", "requests", 0, 1000000, 50,
           &Settings::retry_allowance},
    Number{"pipeline_limit", "requests", 1, 64, 8, &Settings::pipeline_limit},
};

constexpr std::array kDecimalEntries = {
    Decimal{"retry_ratio", 0, 1, 0.2, &Settings::retry_ratio},
    Decimal{"hedge_share", 0, 1, 0, &Settings::hedge_share},
    Decimal{"floor_share", 0, 1, 0.7, &Settings::floor_share},
    Decimal{"memory_limit_mb", 0, 10000000, 0, &Settings::memory_limit_mb},
    Decimal{"cpu_share", 0.001, 1024, 1, &Settings::cpu_share},
    Decimal{"cpu_speed", 0.001, 1024, 1, &Settings::cpu_speed},
    Decimal{"link_mbps", 0.001, 10000000, 1000, &Settings::link_mbps},
};

constexpr std::array kDurationEntries = {
    Time{"upstream_heartbeat", 10 * kMillisecond, 600 * kSecond,
         1500 * kMillisecond, &Settings::upstream_heartbeat},
    Time{"grace_time", kSecond, 3600 * kSecond, 6 * kSecond,
         &Settings::grace_time},
    Time{"address_ttl_limit", 100 * kMillisecond, 600 * kSecond, 5 * kSecond,
         &Settings::address_ttl_limit},
    Time{"key_revocation_limit", base::Duration(0), 600 * kSecond,
         base::Duration(0), &Settings::key_revocation_limit},
};

constexpr std::array kTextEntries = {
    Text{"name", TextFormat::kName, true, &Settings::name},
    Text{"data_centre", TextFormat::kName, true, &Settings::data_centre},
    Text{"front_address", TextFormat::kEndpoint, true,
         &Settings::front_address},
    Text{"ready_address", TextFormat::kEndpoint, true,
         &Settings::ready_address},
    Text{"control_address", TextFormat::kEndpoint, true,
         &Settings::control_address},
    Text{"directory_address", TextFormat::kEndpoint, true,
         &Settings::directory_address},
    Text{"peer_address", TextFormat::kEndpoint, true, &Settings::peer_address},
    Text{"store_address", TextFormat::kEndpoint, true,
         &Settings::store_address},
};

constexpr std::array kListEntries = {
    List{"seeds", &Settings::seeds},
};

constexpr std::array kBooleanEntries = {
    Switch{"strict_key_revocation", &Settings::strict_key_revocation},
};

}  // namespace

const settings::EntryTables<Settings>& GetSettingsEntries() {
  static const settings::EntryTables<Settings> tables = {
      kIntegerEntries, kDecimalEntries, kDurationEntries,
      kTextEntries,    kListEntries,    "docs/operations/gateway.md",
      kBooleanEntries};
  return tables;
}

}  // namespace poplarfork::gateway
