#include "gateway/store_era_driver.h"

#include "clock/now_func.h"
#include "fleet/store_restore_func.h"
#include "gateway/log_func.h"
#include "gateway/registration.h"
#include "gateway/store_item_driver.h"
#include "metrics/registry_func.h"
#include "platform/store_era_func.h"

namespace poplarfork::gateway {

namespace {

// Time for which the store readers are asked for withheld upstreams. Each of
// them gets several Hellos in it, and has listed the restored store.
constexpr base::Duration kAskWithheldTime = std::chrono::seconds(5);

// Longest time for which a daemon that starts after a restore waits for another
// daemon. Two Hellos fit into it. A daemon that is alone has to serve.
constexpr base::Duration kAwaitPeersTime = std::chrono::milliseconds(1500);

}  // namespace

void NoticeEra(Gateway& gateway,
               fleet::StoreEra era,
               const std::string& source) {
  StoreClientState& store = gateway.store;
  // A daemon that has just started knows of no earlier era.
  const bool is_fresh = gateway.view.as_of.value == 0 &&
                        gateway.view.upstreams.empty() &&
                        !gateway.configuration;
  if (era <= store.era)
    return;
  const base::TimePoint now = clock::Now();
  const fleet::StoreEra old_era = store.era;
  store.era = era;
  fleet::BeginEra(gateway.view, platform::EraStart(era));
  metrics::SetGauge(gateway.metrics, "store_era",
                    static_cast<double>(era.value));
  store.asks_withheld_until = now + kAskWithheldTime;
  if (is_fresh) {
    store.awaits_peers_until = now + kAwaitPeersTime;
    RestartRegistrationInNewEra(gateway);
    return;
  }
  Log(gateway, "store_restored",
      {{"old_era", old_era.value},
       {"new_era", era.value},
       {"known_to_revision", gateway.view.as_of.value},
       {"configuration",
        gateway.configuration ? gateway.configuration->version.value : 0},
       {"source", source}});
  metrics::IncrementCounter(gateway.metrics, "store_restores_total");
  store.recovered_at = now;
  store.relist_due_at = now + kExpiredEntryGrace;
  store.deferred_removals.clear();
  gateway.update_assemblies.clear();
  RestartRegistrationInNewEra(gateway);
}

bool AwaitsPeers(const Gateway& gateway, base::TimePoint now) {
  return now < gateway.store.awaits_peers_until;
}

void EndAwaitingPeers(Gateway& gateway) {
  gateway.store.awaits_peers_until = {};
}

}  // namespace poplarfork::gateway
