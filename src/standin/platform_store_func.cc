#include "standin/platform_store_func.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include <sodium.h>
#include <nlohmann/json.hpp>

#include "standin/http_server_func.h"

namespace poplarfork::standin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxPageItems = 20;
constexpr std::size_t kMaxHistoryItems = 10000;

std::string ToBase64(const std::string& bytes) {
  std::string text(
      sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                    bytes.size(), text.data(), text.size(), nullptr, &size,
                    nullptr, sodium_base64_VARIANT_ORIGINAL);
  bytes.resize(size);
  return bytes;
}

Json ItemToJson(const PlatformItem& item) {
  if (item.is_removed)
    return {{"key", item.key}, {"revision", item.revision}, {"removed", true}};
  return {{"key", item.key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"createRevision", item.create_revision},
          {"lease", item.lease_id}};
}

void SendJson(const PlatformStore& store,
              const HttpConnectionPtr& connection,
              unsigned status,
              const Json& body) {
  Response response;
  response.status = status;
  response.body = body.dump();
  for (const std::string& era : store.era_fields)
    response.headers.push_back({"Store-Era", era});
  SendResponse(connection, response);
}

std::string DecodePercentEscapes(std::string text) {
  for (std::size_t position = text.find('%'); position != std::string::npos;
       position = text.find('%', position + 1))
    text.replace(position, 3, 1,
                 static_cast<char>(
                     std::stoi(text.substr(position + 1, 2), nullptr, 16)));
  return text;
}

std::string DecodedQueryValue(const HttpConnection& connection,
                              std::string_view name) {
  return DecodePercentEscapes(QueryValue(connection, name));
}

// Responds to a watch if the history has changes for it. Returns whether it
// did.
bool SendEventsIfAny(const PlatformStore& store, const PlatformWatch& watch) {
  Json events = Json::array();
  for (const PlatformItem& change : store.history) {
    if (change.revision > watch.after_revision &&
        change.key.starts_with(watch.prefix))
      events.push_back(ItemToJson(change));
  }
  if (events.empty())
    return false;
  SendJson(store, watch.connection, 200,
           {{"events", events}, {"asOf", store.revision}});
  return true;
}

void RecordChange(PlatformStore& store, const PlatformItem& item) {
  store.history.push_back(item);
  if (store.history.size() > kMaxHistoryItems) {
    store.compacted_revision = store.history.front().revision;
    store.history.pop_front();
  }
  std::erase_if(store.watches, [&store](const PlatformWatch& watch) {
    return SendEventsIfAny(store, watch);
  });
}

void HandleKeyRead(PlatformStore& store, const HttpConnectionPtr& connection) {
  const auto found = store.items.find(DecodedQueryValue(*connection, "key"));
  if (found == store.items.end()) {
    SendJson(store, connection, 404, Json::object());
    return;
  }
  Json body = ItemToJson(found->second);
  body["asOf"] = store.revision;
  SendJson(store, connection, 200, body);
}

void HandleRangeRead(PlatformStore& store,
                     const HttpConnectionPtr& connection) {
  const std::string prefix = DecodedQueryValue(*connection, "pathPrefix");
  const std::string after_key = DecodedQueryValue(*connection, "after");
  Json items = Json::array();
  bool has_more_pages = false;
  for (const auto& [key, item] : store.items) {
    if (!key.starts_with(prefix) || key <= after_key)
      continue;
    if (items.size() == kMaxPageItems) {
      has_more_pages = true;
      break;
    }
    items.push_back(ItemToJson(item));
  }
  SendJson(store, connection, 200,
           {{"items", items},
            {"morePages", has_more_pages},
            {"asOf", store.revision}});
}

void HandleWatch(const PlatformStorePtr& store,
                 const HttpConnectionPtr& connection) {
  PlatformWatch watch;
  watch.connection = connection;
  watch.prefix = DecodedQueryValue(*connection, "pathPrefix");
  watch.after_revision = std::stoull(DecodedQueryValue(*connection, "after"));
  if (watch.after_revision < store->compacted_revision ||
      watch.after_revision > store->revision) {
    SendJson(*store, connection, 410, Json::object());
    return;
  }
  if (SendEventsIfAny(*store, watch))
    return;
  watch.timer = std::make_shared<boost::asio::steady_timer>(store->executor);
  watch.timer->expires_after(std::chrono::milliseconds(
      std::stoi(DecodedQueryValue(*connection, "waitMs"))));
  watch.timer->async_wait([store, connection, timer = watch.timer](
                              boost::system::error_code error) {
    if (error)
      return;
    const auto removed_count = std::erase_if(
        store->watches, [&connection](const PlatformWatch& open_watch) {
          return open_watch.connection == connection;
        });
    if (removed_count > 0)
      SendJson(*store, connection, 200,
               {{"events", Json::array()}, {"asOf", store->revision}});
  });
  store->watches.push_back(std::move(watch));
}

// Executes a transaction and returns the status and the body of the response.
std::pair<unsigned, Json> ExecuteTransaction(PlatformStore& store,
                                             const Json& body) {
  for (const Json& condition : body.at("expected")) {
    const auto found = store.items.find(condition.at("key").get<std::string>());
    const std::uint64_t revision =
        found == store.items.end() ? 0 : found->second.revision;
    if (revision != condition.at("revision").get<std::uint64_t>())
      return {412, {{"items", Json::array()}}};
  }
  for (const Json& put : body.at("puts")) {
    const std::uint64_t lease_id = put.value("lease", std::uint64_t{0});
    if (lease_id != 0 && !store.leases.contains(lease_id))
      return {404, Json::object()};
  }
  for (const Json& put : body.at("puts"))
    PutPlatformItem(store, put.at("key").get<std::string>(),
                    FromBase64(put.at("value").get<std::string>()),
                    put.value("lease", std::uint64_t{0}));
  for (const Json& key : body.at("deletes"))
    RemovePlatformItem(store, key.get<std::string>());
  return {200, {{"revision", store.revision}}};
}

std::pair<unsigned, Json> ExecuteCall(PlatformStore& store,
                                      const HttpConnectionPtr& connection,
                                      const std::string& path) {
  const Json body = Json::parse(connection->body, nullptr, false);
  const auto parse_id_after = [&path](const std::string& prefix) {
    return std::stoull(path.substr(prefix.size()));
  };
  if (path == "/kv-txn")
    return ExecuteTransaction(store, body);
  if (path == "/kv-lease") {
    store.leases[store.next_lease_id] = true;
    return {200,
            {{"lease", store.next_lease_id++}, {"ttl_time", body["ttl_time"]}}};
  }
  if (path.starts_with("/kv-keep/"))
    return {store.leases.contains(parse_id_after("/kv-keep/")) ? 200U : 404U,
            {{"ttl_time", "12000ms"}}};
  if (path.starts_with("/kv-lease-end/")) {
    RevokePlatformLease(store, parse_id_after("/kv-lease-end/"));
    return {200, Json::object()};
  }
  return {404, Json::object()};
}

// Ends the open watches without a response and leaves their connections open.
void DiscardWatches(PlatformStore& store) {
  for (const PlatformWatch& watch : store.watches)
    watch.timer->cancel();
  store.watches.clear();
}

void OnRequest(const PlatformStorePtr& store,
               const HttpConnectionPtr& connection) {
  const std::string path(RequestPath(*connection));
  ++store->call_counts[path];
  if (store->mode != PlatformStoreMode::kNormal) {
    if (store->mode == PlatformStoreMode::kUnavailable)
      SendJson(*store, connection, 503, Json::object());
    if (store->mode == PlatformStoreMode::kResetConnections)
      ResetConnection(connection);
    if (store->mode == PlatformStoreMode::kLoseResponses) {
      ExecuteCall(*store, connection, path);
      ResetConnection(connection);
    }
    return;
  }
  if (path == "/kv-key") {
    HandleKeyRead(*store, connection);
  } else if (path == "/kv-range") {
    HandleRangeRead(*store, connection);
  } else if (path == "/kv-watch") {
    HandleWatch(store, connection);
  } else {
    const auto [status, body] = ExecuteCall(*store, connection, path);
    SendJson(*store, connection, status, body);
  }
}

}  // namespace

PlatformStorePtr StartPlatformStore(
    const boost::asio::any_io_executor& loop,
    const boost::asio::ip::tcp::endpoint& endpoint) {
  auto store = std::make_shared<PlatformStore>(loop);
  store->server = AddPlatformStoreListener(store, endpoint);
  return store;
}

HttpServerPtr AddPlatformStoreListener(
    const PlatformStorePtr& store,
    const boost::asio::ip::tcp::endpoint& endpoint) {
  HttpServerOptions options;
  options.endpoint = endpoint;
  options.max_buffered_body_bytes = 4 * 1024 * 1024;
  std::weak_ptr<PlatformStore> weak_store = store;
  return StartHttpServer(store->executor, options,
                         [weak_store](const HttpConnectionPtr& connection) {
                           if (const auto live_store = weak_store.lock())
                             OnRequest(live_store, connection);
                         });
}

void PutPlatformItem(PlatformStore& store,
                     const std::string& key,
                     const std::string& value,
                     std::uint64_t lease_id) {
  PlatformItem& item = store.items[key];
  ++store.revision;
  if (item.create_revision == 0)
    item.create_revision = store.revision;
  item.key = key;
  item.value = value;
  item.lease_id = lease_id;
  item.revision = store.revision;
  RecordChange(store, item);
}

void RemovePlatformItem(PlatformStore& store, const std::string& key) {
  const auto found = store.items.find(key);
  if (found == store.items.end())
    return;
  PlatformItem tombstone = found->second;
  store.items.erase(found);
  tombstone.is_removed = true;
  tombstone.revision = ++store.revision;
  RecordChange(store, tombstone);
}

void SetPlatformStoreMode(PlatformStore& store, PlatformStoreMode mode) {
  store.mode = mode;
  if (mode == PlatformStoreMode::kSilent)
    DiscardWatches(store);
  else if (mode != PlatformStoreMode::kNormal)
    ResetPlatformWatches(store);
}

void ResetPlatformWatches(PlatformStore& store) {
  for (const PlatformWatch& watch : store.watches)
    ResetConnection(watch.connection);
  DiscardWatches(store);
}

void CompactPlatformHistory(PlatformStore& store) {
  store.history.clear();
  store.compacted_revision = store.revision;
  ResetPlatformWatches(store);
}

void KeepPlatformCopy(PlatformStore& store) {
  store.copy = {store.items, store.revision, store.next_lease_id};
  for (auto& [key, item] : store.copy.items)
    item.lease_id = 0;
}

void RestorePlatformCopy(PlatformStore& store) {
  store.items = store.copy.items;
  store.revision = store.copy.revision;
  store.next_lease_id = store.copy.next_lease_id;
  store.leases.clear();
  ++store.era;
  store.era_fields = {std::to_string(store.era)};
  CompactPlatformHistory(store);
}

void RevokePlatformLease(PlatformStore& store, std::uint64_t lease_id) {
  store.leases.erase(lease_id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : store.items) {
    if (item.lease_id == lease_id)
      keys.push_back(key);
  }
  for (const std::string& key : keys)
    RemovePlatformItem(store, key);
}

void StopPlatformStore(PlatformStore& store) {
  DiscardWatches(store);
  StopHttpServer(*store.server);
}

}  // namespace poplarfork::standin
