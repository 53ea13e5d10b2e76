#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result_type.h"
#include "health/ledger_type.h"
#include "health/report_type.h"

namespace poplarfork::health {

// Announcement of a crash fingerprint that daemons send to each other.
struct CrashAnnouncement {
  base::ServiceId service;
  std::uint64_t fingerprint = 0;
};

// Encode and decode the payloads of the envelope kinds HEALTH_REPORT, LEDGER
// and CRASH_FINGERPRINT. Decoding fails with `kMalformed` or `kTooLarge`.
std::string EncodeReport(const HealthReport& report);
base::Result<HealthReport> DecodeReport(std::string_view payload);
std::string EncodeLedger(const Ledger& ledger);
base::Result<Ledger> DecodeLedger(std::string_view payload);
std::string EncodeCrashAnnouncement(const CrashAnnouncement& crash);
base::Result<CrashAnnouncement> DecodeCrashAnnouncement(
    std::string_view payload);

// Encode and decode the value of the store's key
// `poplarfork/ejections/<service>`. The version belongs to the store and is not
// part of the value.
std::string EncodeStoredLedger(const Ledger& ledger);
base::Result<Ledger> DecodeStoredLedger(std::string_view stored,
                                        std::uint64_t version);

}  // namespace poplarfork::health
