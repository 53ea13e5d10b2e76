#include "settings/settings_table.h"

#include <array>

namespace poplarfork::settings {

namespace {

constexpr std::int64_t kKiB = 1024;
constexpr std::int64_t kMiB = 1024 * kKiB;
constexpr std::int64_t kSecondMs = 1000;
constexpr std::int64_t kHourMs = 3600 * kSecondMs;

// The maximum of `max_buffered_bytes` keeps buffered bodies within half of the
// 128 MB of memory that one daemon may use.
constexpr std::array kNumbers = {
    NumberEntry<Settings>{"max_header_bytes", "bytes", kKiB, 256 * kKiB,
                          16 * kKiB, &Settings::max_header_bytes},
    NumberEntry<Settings>{"max_request_body_bytes", "bytes", kKiB, 16 * kMiB,
                          kMiB, &Settings::max_request_body_bytes},
    NumberEntry<Settings>{"max_buffered_bytes", "bytes", kMiB, 64 * kMiB,
                          32 * kMiB, &Settings::max_buffered_bytes},
    NumberEntry<Settings>{"max_caller_connections", "connections", 1, 100000,
                          8000, &Settings::max_caller_connections},
    NumberEntry<Settings>{"caller_header_timeout_ms", "ms", 100, 60 * kSecondMs,
                          10 * kSecondMs, &Settings::caller_header_timeout_ms},
    NumberEntry<Settings>{"caller_idle_timeout_ms", "ms", kSecondMs,
                          600 * kSecondMs, 60 * kSecondMs,
                          &Settings::caller_idle_timeout_ms},
    NumberEntry<Settings>{"caller_write_timeout_ms", "ms", kSecondMs,
                          600 * kSecondMs, 60 * kSecondMs,
                          &Settings::caller_write_timeout_ms},
    NumberEntry<Settings>{"upstream_connect_timeout_ms", "ms", 10,
                          30 * kSecondMs, kSecondMs,
                          &Settings::upstream_connect_timeout_ms},
    NumberEntry<Settings>{"upstream_silence_timeout_ms", "ms", 50,
                          60 * kSecondMs, 3 * kSecondMs,
                          &Settings::upstream_silence_timeout_ms},
    NumberEntry<Settings>{"upstream_idle_timeout_ms", "ms", 100,
                          600 * kSecondMs, 30 * kSecondMs,
                          &Settings::upstream_idle_timeout_ms},
    NumberEntry<Settings>{"store_timeout_ms", "ms", 10, 30 * kSecondMs,
                          2 * kSecondMs, &Settings::store_timeout_ms},
    NumberEntry<Settings>{"address_lifetime_ms", "ms", kSecondMs,
                          600 * kSecondMs, 30 * kSecondMs,
                          &Settings::address_lifetime_ms},
    NumberEntry<Settings>{"drain_limit_ms", "ms", kSecondMs, 24 * kHourMs,
                          600 * kSecondMs, &Settings::drain_limit_ms},
    NumberEntry<Settings>{"tick_ms", "ms", 10, kSecondMs, 100,
                          &Settings::tick_ms},
    // 0 takes a seed from the operating system. The seed in use is logged in
    // both cases.
    NumberEntry<Settings>{"random_seed", "", 0, INT64_MAX, 0,
                          &Settings::random_seed},
};

constexpr std::array kTexts = {
    TextEntry<Settings>{"edge_address", TextForm::kEndpoint, true,
                        &Settings::edge_address},
    TextEntry<Settings>{"admin_address", TextForm::kEndpoint, true,
                        &Settings::admin_address},
    TextEntry<Settings>{"peer_address", TextForm::kEndpoint, true,
                        &Settings::peer_address},
    TextEntry<Settings>{"data_centre", TextForm::kName, true,
                        &Settings::data_centre},
    TextEntry<Settings>{"store_address", TextForm::kEndpoint, true,
                        &Settings::store_address},
    TextEntry<Settings>{"vm_list_address", TextForm::kEndpoint, false,
                        &Settings::vm_list_address},
    TextEntry<Settings>{"cluster_key", TextForm::kAny, true,
                        &Settings::cluster_key},
    TextEntry<Settings>{"operator_token", TextForm::kAny, false,
                        &Settings::operator_token},
};

constexpr std::array kLists = {
    ListEntry<Settings>{"seeds", &Settings::seeds},
};

}  // namespace

const EntryTables<Settings>& SettingsEntries() {
  static const EntryTables<Settings> tables = {
      kNumbers, {}, {}, kTexts, kLists, "docs/operations/settings.md"};
  return tables;
}

}  // namespace poplarfork::settings
