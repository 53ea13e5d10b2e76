#include "gateway/store_call.h"

#include <memory>
#include <utility>

#include "base/rng_func.h"
#include "clock/now_func.h"
#include "gateway/log_func.h"
#include "metrics/registry_func.h"
#include "upstream/whole_call.h"

namespace poplarfork::gateway {

namespace {

// Largest response body of the store. A page of items holds about 1 MB, which
// base64 enlarges.
constexpr std::size_t kMaxStoreResponseBytes = 8 * 1024 * 1024;

// Shortest delay after a failed call; the longest delay is twice as long.
constexpr base::Duration kMinStoreRetryDelay = std::chrono::milliseconds(300);

// Returns whether a status means that the store is unavailable. `status` is 0
// if there was no complete response. With 429 and 5xx the store states that it
// did not execute the call.
bool IsStoreUnavailable(unsigned status) {
  return status == 0 || status == 429 || status >= 500;
}

// Returns the milliseconds since the last successful call as a log value, which
// is null before the first success.
logging::Fields MillisecondsSinceSuccess(const StoreClientState& store,
                                         base::TimePoint now) {
  if (store.last_success == base::TimePoint{})
    return nullptr;
  return ToMilliseconds(now - store.last_success);
}

// Records whether the store is available and logs when that changes.
void UpdateStoreStatus(Gateway& gateway, const StoreResponse& response) {
  StoreClientState& store = gateway.store;
  const bool unavailable = IsStoreUnavailable(response.status);
  const base::TimePoint now = clock::Now();
  metrics::IncrementCounter(
      gateway.metrics,
      "store_calls_total{status=\"" + std::to_string(response.status) + "\"}");
  if (unavailable && !store.failing) {
    Log(gateway, "store_lost",
        {{"status", response.status},
         {"error", response.error},
         {"last_success_ms_ago", MillisecondsSinceSuccess(store, now)},
         {"known_to_revision", gateway.view.as_of.value}});
  }
  if (!unavailable && store.failing) {
    store.recovered_at = now;
    Log(gateway, "store_regained",
        {{"away_ms", MillisecondsSinceSuccess(store, now)},
         {"known_to_revision", gateway.view.as_of.value}});
  }
  store.failing = unavailable;
  if (!unavailable)
    store.last_success = now;
}

}  // namespace

void CallStore(Gateway& gateway,
               edge::HttpRequest request,
               base::Duration timeout,
               std::function<void(const StoreResponse&)> on_end) {
  upstream::CallOptions options;
  options.address = gateway.settings.store_address;
  options.timeout = timeout;
  options.max_body_bytes = kMaxStoreResponseBytes;
  upstream::StartCall(gateway.loop, gateway.control_pool, options,
                      std::make_shared<edge::HttpRequest>(std::move(request)),
                      [&gateway, on_end = std::move(on_end)](
                          upstream::BufferedResponse response) {
                        StoreResponse store_response;
                        store_response.error = response.end.error.message();
                        if (response.IsComplete()) {
                          store_response.status = response.header.result_int();
                          store_response.body = std::move(response.body);
                        }
                        UpdateStoreStatus(gateway, store_response);
                        on_end(store_response);
                      });
}

base::Duration RandomStoreRetryDelay(Gateway& gateway) {
  return kMinStoreRetryDelay +
         base::Duration(static_cast<std::int64_t>(
             base::Uniform01(gateway.rng) *
             static_cast<double>(kMinStoreRetryDelay.count())));
}

}  // namespace poplarfork::gateway
