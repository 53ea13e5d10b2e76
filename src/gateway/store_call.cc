#include "gateway/store_call.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/rng_func.h"
#include "base/time_func.h"
#include "clock/now_func.h"
#include "fleet/answer_time_func.h"
#include "fleet/freshness_func.h"
#include "gateway/log_func.h"
#include "gateway/store_era_driver.h"
#include "metrics/registry_func.h"
#include "platform/store_era_func.h"
#include "upstream/pool_func.h"
#include "upstream/whole_call.h"

namespace poplarfork::gateway {

namespace {

// Largest response body of the store. A page of items holds about 1 MB, which
// base64 enlarges.
constexpr std::size_t kMaxStoreResponseBytes = 8 * 1024 * 1024;

// Shortest delay after a failed call; the longest delay is twice as long.
constexpr base::Duration kMinStoreRetryDelay = std::chrono::milliseconds(300);
// Longest delay after a lost connection. Many gateways may lose theirs at once.
constexpr base::Duration kMaxReconnectDelay = std::chrono::milliseconds(50);

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

// Returns when this daemon last knew that the store was available, by itself or
// from a store reader.
base::TimePoint LastKnownAvailable(const Gateway& gateway) {
  return std::max(gateway.store.last_success, gateway.freshness.confirmed_at);
}

// Tells whether a failed call shows only that its connection was lost. Kept
// connections may go silent or be closed although the store is available, so
// the first failure after a success is laid to the connection, and a call that
// begins afterwards, on a new connection, shows whether the store is available.
bool IsConnectionLoss(const StoreClientState& store,
                      const StoreResponse& response,
                      const upstream::ExchangeEnd& end,
                      base::TimePoint started_at) {
  if (response.status != 0 || end.progress == upstream::Progress::kNotConnected)
    return false;
  return started_at <= store.connections_lost_at ||
         store.last_success > store.connections_lost_at;
}

void RecordConnectionLoss(Gateway& gateway,
                          const StoreResponse& response,
                          base::TimePoint started_at,
                          base::TimePoint now) {
  StoreClientState& store = gateway.store;
  if (started_at <= store.connections_lost_at)
    return;
  Log(gateway, "store_connection_lost",
      {{"error", response.error},
       {"call_ms", ToMilliseconds(now - started_at)},
       {"last_success_ms_ago", MillisecondsSinceSuccess(store, now)},
       {"known_to_revision", gateway.view.as_of.value}});
  metrics::IncrementCounter(gateway.metrics, "store_connections_lost_total");
  store.connections_lost_at = now;
  upstream::InvalidateConnections(gateway.control_pool,
                                  gateway.settings.store_address);
}

// Records a call that the store has answered.
void RecordAvailable(Gateway& gateway, base::TimePoint now) {
  StoreClientState& store = gateway.store;
  const base::TimePoint known_at = LastKnownAvailable(gateway);
  const bool unseen_outage =
      store.connections_lost_at > known_at &&
      fleet::MayExpireEntries(now - known_at,
                              gateway.settings.upstream_heartbeat);
  if (store.failing || unseen_outage)
    store.recovered_at = now;
  if (store.failing)
    Log(gateway, "store_regained",
        {{"away_ms", MillisecondsSinceSuccess(store, now)},
         {"known_to_revision", gateway.view.as_of.value}});
  store.failing = false;
  store.last_success = now;
}

void RecordUnavailable(Gateway& gateway,
                       const StoreResponse& response,
                       base::TimePoint now) {
  StoreClientState& store = gateway.store;
  if (!store.failing)
    Log(gateway, "store_lost",
        {{"status", response.status},
         {"error", response.error},
         {"last_success_ms_ago", MillisecondsSinceSuccess(store, now)},
         {"known_to_revision", gateway.view.as_of.value}});
  store.failing = true;
}

// Records whether the store is available and logs when that changes.
void UpdateStoreStatus(Gateway& gateway,
                       StoreResponse& response,
                       const upstream::ExchangeEnd& end,
                       base::TimePoint started_at) {
  const base::TimePoint now = clock::Now();
  metrics::IncrementCounter(
      gateway.metrics,
      "store_calls_total{status=\"" + std::to_string(response.status) + "\"}");
  response.is_connection_lost =
      !response.is_too_large &&
      IsConnectionLoss(gateway.store, response, end, started_at);
  if (response.status == 0 && !response.is_too_large)
    fleet::RecordNoAnswer(gateway.store.answer_time);
  if (response.is_connection_lost)
    RecordConnectionLoss(gateway, response, started_at, now);
  else if (IsStoreUnavailable(response.status) && !response.is_too_large)
    RecordUnavailable(gateway, response, now);
  else
    RecordAvailable(gateway, now);
}

// Records which era the response belongs to: the one that it states, or the
// present one if it states none.
void ApplyStatedEra(Gateway& gateway,
                    StoreResponse& response,
                    const upstream::HttpHeader& header) {
  const platform::StatedEra stated = platform::ParseStoreEra(header);
  if (stated.is_unreadable)
    metrics::IncrementCounter(gateway.metrics, "store_eras_unreadable_total");
  if (stated.era)
    NoticeEra(gateway, *stated.era, "store");
  response.era = stated.era.value_or(gateway.store.era);
  response.is_late = response.era < gateway.store.era;
  if (response.is_late)
    metrics::IncrementCounter(gateway.metrics, "store_late_answers_total");
}

// Sends one call. `options` says how long to wait for the answer; the store may
// hold the call open for `max_wait`.
void CallStore(Gateway& gateway,
               edge::HttpRequest request,
               upstream::CallOptions options,
               base::Duration max_wait,
               std::function<void(const StoreResponse&)> on_end) {
  options.address = gateway.settings.store_address;
  options.timeout = max_wait + fleet::kMaxAnswerTime;
  options.max_body_bytes = kMaxStoreResponseBytes;
  upstream::StartCall(
      gateway.loop, gateway.control_pool, options,
      std::make_shared<edge::HttpRequest>(std::move(request)),
      [&gateway, started_at = clock::Now(), max_wait,
       on_end = std::move(on_end)](upstream::BufferedResponse response) {
        StoreResponse store_response;
        store_response.error = response.end.error.message();
        store_response.is_too_large = response.is_too_large;
        if (response.IsComplete()) {
          store_response.status = response.header.result_int();
          store_response.body = std::move(response.body);
          fleet::RecordAnswer(gateway.store.answer_time,
                              clock::Now() - started_at, max_wait);
        }
        UpdateStoreStatus(gateway, store_response, response.end, started_at);
        ApplyStatedEra(gateway, store_response, response.header);
        on_end(store_response);
      });
}

}  // namespace

void ReadStore(Gateway& gateway,
               edge::HttpRequest request,
               base::Duration max_wait,
               std::function<void(const StoreResponse&)> on_end) {
  upstream::CallOptions options;
  options.answer_timeout =
      max_wait + fleet::AnswerTimeout(gateway.store.answer_time);
  CallStore(gateway, std::move(request), options, max_wait, std::move(on_end));
}

void WriteStore(Gateway& gateway,
                edge::HttpRequest request,
                std::function<void(const StoreResponse&)> on_end) {
  CallStore(gateway, std::move(request), {}, base::Duration(0),
            std::move(on_end));
}

base::Duration RandomStoreRetryDelay(Gateway& gateway) {
  return kMinStoreRetryDelay +
         base::Scale(kMinStoreRetryDelay, base::Uniform01(gateway.rng));
}

base::Duration ReadRetryDelay(Gateway& gateway, const StoreResponse& response) {
  return response.is_connection_lost
             ? base::Scale(kMaxReconnectDelay, base::Uniform01(gateway.rng))
             : RandomStoreRetryDelay(gateway);
}

}  // namespace poplarfork::gateway
