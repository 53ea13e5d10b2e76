#include "daemon/health_store_func.h"

#include <string>
#include <utility>

#include "daemon/health_func.h"
#include "daemon/release_store_func.h"
#include "health/message_func.h"
#include "logging/log_func.h"
#include "store/client_func.h"

namespace poplarfork::daemon {

namespace {

std::string MakeLedgerKey(const base::ServiceId& service) {
  return "poplarfork/ejections/" + service.value;
}

void HandleEventIfServed(Daemon& daemon,
                         const base::ServiceId& service,
                         const health::Event& event) {
  const auto found = daemon.services.find(service);
  if (found != daemon.services.end())
    HandleHealthEvent(daemon, found->second, event);
}

void OnLedgerRead(Daemon& daemon,
                  const base::ServiceId& service,
                  const base::Result<store::GetResult>& result) {
  UpdateStoreReachability(daemon, result.has_value());
  if (!result.has_value())
    return;
  health::Ledger ledger;
  ledger.service = service;
  if (const auto& found = result.value().entry) {
    auto stored =
        health::DecodeStoredLedger(found->value, found->mod_revision.value);
    if (!stored.has_value()) {
      auto fields = web::json::value::object();
      fields["service"] = web::json::value::string(service.value);
      logging::WriteLogLine("ledger_malformed", std::move(fields));
      return;
    }
    ledger = std::move(stored.value());
  }
  HandleEventIfServed(daemon, service,
                      health::LedgerReceived{std::move(ledger), true});
}

}  // namespace

void ReadLedger(Daemon& daemon, const base::ServiceId& service) {
  store::Get(daemon.store_client, MakeLedgerKey(service),
             [&daemon, service](auto result) {
               OnLedgerRead(daemon, service, result);
             });
}

void WriteLedger(Daemon& daemon,
                 const base::ServiceId& service,
                 const health::Ledger& ledger) {
  store::CompareAndSwap(
      daemon.store_client, MakeLedgerKey(service), {ledger.version},
      health::EncodeStoredLedger(ledger),
      [&daemon, service, ledger](const store::WriteResult& result) {
        health::LedgerWriteFinished finished;
        finished.succeeded = result.status == store::WriteStatus::kWritten;
        finished.ledger = ledger;
        finished.ledger.version = result.revision.value;
        HandleEventIfServed(daemon, service, finished);
      });
}

}  // namespace poplarfork::daemon
