#include "settings/settings_table.h"

#include <array>

namespace poplarfork::settings {

namespace {

constexpr std::int64_t kKiB = 1024;
constexpr std::int64_t kMiB = 1024 * kKiB;
constexpr std::int64_t kMillisecondsPerSecond = 1000;
constexpr std::int64_t kMillisecondsPerHour = 3600 * kMillisecondsPerSecond;

// The maximum of `max_buffered_bytes` keeps buffered bodies within half of the
// 128 MB of memory that one daemon may use.
constexpr std::array kIntegerEntries = {
    IntegerEntry<Settings>{"max_header_bytes", "bytes", kKiB, 256 * kKiB,
                           16 * kKiB, &Settings::max_header_bytes},
    IntegerEntry<Settings>{"max_request_body_bytes", "bytes", kKiB, 16 * kMiB,
                           kMiB, &Settings::max_request_body_bytes},
    IntegerEntry<Settings>{"max_buffered_bytes", "bytes", kMiB, 64 * kMiB,
                           32 * kMiB, &Settings::max_buffered_bytes},
    IntegerEntry<Settings>{"max_caller_connections", "connections", 1, 100000,
                           8000, &Settings::max_caller_connections},
    IntegerEntry<Settings>{
        "caller_header_timeout_ms", "ms", 100, 60 * kMillisecondsPerSecond,
        10 * kMillisecondsPerSecond, &Settings::caller_header_timeout_ms},
    IntegerEntry<Settings>{"caller_idle_timeout_ms", "ms",
                           kMillisecondsPerSecond, 600 * kMillisecondsPerSecond,
                           60 * kMillisecondsPerSecond,
                           &Settings::caller_idle_timeout_ms},
    IntegerEntry<Settings>{"caller_write_timeout_ms", "ms",
                           kMillisecondsPerSecond, 600 * kMillisecondsPerSecond,
                           60 * kMillisecondsPerSecond,
                           &Settings::caller_write_timeout_ms},
    IntegerEntry<Settings>{"upstream_connect_timeout_ms", "ms", 10,
                           30 * kMillisecondsPerSecond, kMillisecondsPerSecond,
                           &Settings::upstream_connect_timeout_ms},
    IntegerEntry<Settings>{
        "upstream_silence_timeout_ms", "ms", 50, 60 * kMillisecondsPerSecond,
        3 * kMillisecondsPerSecond, &Settings::upstream_silence_timeout_ms},
    IntegerEntry<Settings>{
        "upstream_idle_timeout_ms", "ms", 100, 600 * kMillisecondsPerSecond,
        30 * kMillisecondsPerSecond, &Settings::upstream_idle_timeout_ms},
    IntegerEntry<Settings>{
        "store_timeout_ms", "ms", 10, 30 * kMillisecondsPerSecond,
        2 * kMillisecondsPerSecond, &Settings::store_timeout_ms},
    IntegerEntry<Settings>{"address_lifetime_ms", "ms", kMillisecondsPerSecond,
                           600 * kMillisecondsPerSecond,
                           30 * kMillisecondsPerSecond,
                           &Settings::address_lifetime_ms},
    IntegerEntry<Settings>{"drain_limit_ms", "ms", kMillisecondsPerSecond,
                           24 * kMillisecondsPerHour,
                           600 * kMillisecondsPerSecond,
                           &Settings::drain_limit_ms},
    IntegerEntry<Settings>{"tick_ms", "ms", 10, kMillisecondsPerSecond, 100,
                           &Settings::tick_ms},
    // 0 takes a seed from the operating system. The seed in use is logged in
    // both cases.
    IntegerEntry<Settings>{"random_seed", "", 0, INT64_MAX, 0,
                           &Settings::random_seed},
};

constexpr std::array kTextEntries = {
    TextEntry<Settings>{"edge_address", TextFormat::kEndpoint, true,
                        &Settings::edge_address},
    TextEntry<Settings>{"admin_address", TextFormat::kEndpoint, true,
                        &Settings::admin_address},
    TextEntry<Settings>{"peer_address", TextFormat::kEndpoint, true,
                        &Settings::peer_address},
    TextEntry<Settings>{"data_centre", TextFormat::kName, true,
                        &Settings::data_centre},
    TextEntry<Settings>{"store_address", TextFormat::kEndpoint, true,
                        &Settings::store_address},
    TextEntry<Settings>{"vm_list_address", TextFormat::kEndpoint, false,
                        &Settings::vm_list_address},
    TextEntry<Settings>{"cluster_key", TextFormat::kAny, true,
                        &Settings::cluster_key},
    TextEntry<Settings>{"operator_token", TextFormat::kAny, false,
                        &Settings::operator_token},
};

constexpr std::array kListEntries = {
    ListEntry<Settings>{"seeds", &Settings::seeds},
};

}  // namespace

const EntryTables<Settings>& GetSettingsEntries() {
  static const EntryTables<Settings> tables = {
      kIntegerEntries, {},           {},
      kTextEntries,    kListEntries, "docs/operations/settings.md"};
  return tables;
}

}  // namespace poplarfork::settings
