#include "health/message_func.h"

#include "base/error_func.h"
#include "health.pb.h"

namespace poplarfork::health {

namespace {

// A service lists at most 68,000 upstreams, but a report contains only the
// upstreams that had bad requests within 100 ms.
constexpr int kMaxReportItems = 4096;
// This keeps the encoded ledger far below the store's limit of 1 MB per value.
constexpr int kMaxLedgerEntries = 4096;

base::Error MakeMalformedError(const char* message) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kPeerDecode,
                         "", message);
}

base::Error MakeTooLargeError(const char* message) {
  return base::MakeError(base::ErrorCode::kTooLarge, base::Step::kPeerDecode,
                         "", message);
}

void EntryToMessage(const LedgerEntry& entry, proto::LedgerEntry& message) {
  message.set_upstream(entry.upstream.value);
  message.set_slots(entry.slots);
  message.set_hold_us(static_cast<std::uint64_t>(entry.hold_down.count()));
  message.set_sequence(entry.sequence);
}

LedgerEntry EntryFromMessage(const proto::LedgerEntry& message) {
  LedgerEntry entry;
  entry.upstream.value = message.upstream();
  entry.slots = message.slots();
  entry.hold_down =
      base::Duration(static_cast<std::int64_t>(message.hold_us()));
  entry.sequence = message.sequence();
  return entry;
}

proto::Ledger LedgerToMessage(const Ledger& ledger) {
  proto::Ledger message;
  message.set_service(ledger.service.value);
  message.set_version(ledger.version);
  message.set_next_sequence(ledger.next_sequence);
  for (const LedgerEntry& entry : ledger.ejected)
    EntryToMessage(entry, *message.add_ejected());
  for (const LedgerEntry& entry : ledger.removed)
    EntryToMessage(entry, *message.add_removed());
  return message;
}

}  // namespace

std::string EncodeReport(const HealthReport& report) {
  proto::HealthReport message;
  message.set_service(report.service.value);
  message.set_observer(report.observer.value);
  message.set_data_centre(report.data_centre.value);
  message.set_request_rate(report.request_rate);
  for (const ReportItem& item : report.items) {
    proto::HealthReportItem& added = *message.add_items();
    added.set_upstream(item.upstream.value);
    added.set_failures(item.failures);
    added.set_slow(item.slow);
    added.set_avoiding(item.avoiding);
  }
  for (const ConnectionLoss& loss : report.losses) {
    proto::ConnectionLoss& added = *message.add_losses();
    added.set_fingerprint(loss.fingerprint);
    added.set_upstream(loss.upstream.value);
  }
  return message.SerializeAsString();
}

base::Result<HealthReport> DecodeReport(std::string_view payload) {
  proto::HealthReport message;
  if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
    return MakeMalformedError("health report is not a valid message");
  if (message.items_size() > kMaxReportItems ||
      message.losses_size() > kMaxReportItems)
    return MakeTooLargeError("health report has more than 4096 items");
  if (message.service().empty() || message.observer().empty())
    return MakeMalformedError("health report names no service or no observer");
  if (!(message.request_rate() >= 0 && message.request_rate() < 1e9))
    return MakeMalformedError(
        "request rate of a health report is outside 0 to 1e9");
  HealthReport report;
  report.service.value = message.service();
  report.observer.value = message.observer();
  report.data_centre.value = message.data_centre();
  report.request_rate = message.request_rate();
  for (const proto::HealthReportItem& item : message.items()) {
    report.items.push_back(
        {{item.upstream()}, item.failures(), item.slow(), item.avoiding()});
  }
  for (const proto::ConnectionLoss& loss : message.losses())
    report.losses.push_back({loss.fingerprint(), {loss.upstream()}});
  return report;
}

std::string EncodeLedger(const Ledger& ledger) {
  return LedgerToMessage(ledger).SerializeAsString();
}

base::Result<Ledger> DecodeLedger(std::string_view payload) {
  proto::Ledger message;
  if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
    return MakeMalformedError("ledger is not a valid message");
  if (message.ejected_size() > kMaxLedgerEntries ||
      message.removed_size() > kMaxLedgerEntries)
    return MakeTooLargeError("ledger has more than 4096 entries");
  if (message.service().empty())
    return MakeMalformedError("ledger names no service");
  Ledger ledger;
  ledger.service.value = message.service();
  ledger.version = message.version();
  ledger.next_sequence = message.next_sequence();
  for (const proto::LedgerEntry& entry : message.ejected())
    ledger.ejected.push_back(EntryFromMessage(entry));
  for (const proto::LedgerEntry& entry : message.removed())
    ledger.removed.push_back(EntryFromMessage(entry));
  return ledger;
}

std::string EncodeCrashAnnouncement(const CrashAnnouncement& crash) {
  proto::CrashFingerprint message;
  message.set_service(crash.service.value);
  message.set_fingerprint(crash.fingerprint);
  return message.SerializeAsString();
}

base::Result<CrashAnnouncement> DecodeCrashAnnouncement(
    std::string_view payload) {
  proto::CrashFingerprint message;
  if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
    return MakeMalformedError("crash fingerprint is not a valid message");
  if (message.service().empty())
    return MakeMalformedError("crash fingerprint names no service");
  return CrashAnnouncement{{message.service()}, message.fingerprint()};
}

std::string EncodeStoredLedger(const Ledger& ledger) {
  Ledger stored = ledger;
  stored.version = 0;
  return EncodeLedger(stored);
}

base::Result<Ledger> DecodeStoredLedger(std::string_view stored,
                                        std::uint64_t version) {
  base::Result<Ledger> decoded = DecodeLedger(stored);
  if (decoded.has_value())
    decoded.value().version = version;
  return decoded;
}

}  // namespace poplarfork::health
