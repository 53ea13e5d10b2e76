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

constexpr std::size_t kPageItems = 20;
constexpr std::size_t kMaxHistory = 10000;

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

Json ItemJson(const PlatformItem& item) {
  if (item.removed)
    return {{"key", item.key}, {"revision", item.revision}, {"removed", true}};
  return {{"key", item.key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"createRevision", item.created},
          {"lease", item.lease}};
}

void Send(const ConnectionPtr& connection, unsigned status, const Json& body) {
  Reply reply;
  reply.status = status;
  reply.body = body.dump();
  SendReply(connection, reply);
}

std::string Unescape(std::string text) {
  for (std::size_t at = text.find('%'); at != std::string::npos;
       at = text.find('%', at + 1))
    text.replace(
        at, 3, 1,
        static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16)));
  return text;
}

std::string Query(const HttpConnection& connection, std::string_view name) {
  return Unescape(QueryValue(connection, name));
}

// Responds to a watch if the history has changes for it. Returns whether it
// did.
bool AnswerWatch(const PlatformStore& store, const PlatformWatch& watch) {
  Json events = Json::array();
  for (const PlatformItem& change : store.history) {
    if (change.revision > watch.after && change.key.starts_with(watch.prefix))
      events.push_back(ItemJson(change));
  }
  if (events.empty())
    return false;
  Send(watch.connection, 200, {{"events", events}, {"asOf", store.revision}});
  return true;
}

void Note(PlatformStore& store, const PlatformItem& item) {
  store.history.push_back(item);
  if (store.history.size() > kMaxHistory) {
    store.forgotten = store.history.front().revision;
    store.history.pop_front();
  }
  std::erase_if(store.watches, [&store](const PlatformWatch& watch) {
    return AnswerWatch(store, watch);
  });
}

void ReadKey(PlatformStore& store, const ConnectionPtr& connection) {
  const auto found = store.items.find(Query(*connection, "key"));
  if (found == store.items.end()) {
    Send(connection, 404, Json::object());
    return;
  }
  Json body = ItemJson(found->second);
  body["asOf"] = store.revision;
  Send(connection, 200, body);
}

void ReadRange(PlatformStore& store, const ConnectionPtr& connection) {
  const std::string prefix = Query(*connection, "pathPrefix");
  const std::string after = Query(*connection, "after");
  Json items = Json::array();
  bool more = false;
  for (const auto& [key, item] : store.items) {
    if (!key.starts_with(prefix) || key <= after)
      continue;
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(ItemJson(item));
  }
  Send(connection, 200,
       {{"items", items}, {"morePages", more}, {"asOf", store.revision}});
}

void StartWatch(const PlatformStorePtr& store,
                const ConnectionPtr& connection) {
  PlatformWatch watch;
  watch.connection = connection;
  watch.prefix = Query(*connection, "pathPrefix");
  watch.after = std::stoull(Query(*connection, "after"));
  if (watch.after < store->forgotten) {
    Send(connection, 410, Json::object());
    return;
  }
  if (AnswerWatch(*store, watch))
    return;
  watch.timer = std::make_shared<boost::asio::steady_timer>(store->executor);
  watch.timer->expires_after(
      std::chrono::milliseconds(std::stoi(Query(*connection, "waitMs"))));
  watch.timer->async_wait(
      [store, connection, timer = watch.timer](boost::system::error_code code) {
        if (code)
          return;
        const auto ended = std::erase_if(
            store->watches, [&connection](const PlatformWatch& waiting) {
              return waiting.connection == connection;
            });
        if (ended > 0)
          Send(connection, 200,
               {{"events", Json::array()}, {"asOf", store->revision}});
      });
  store->watches.push_back(std::move(watch));
}

// Executes a transaction and returns the status and the body of the response.
std::pair<unsigned, Json> Transact(PlatformStore& store, const Json& body) {
  for (const Json& row : body.at("expected")) {
    const auto found = store.items.find(row.at("key").get<std::string>());
    const std::uint64_t revision =
        found == store.items.end() ? 0 : found->second.revision;
    if (revision != row.at("revision").get<std::uint64_t>())
      return {412, {{"items", Json::array()}}};
  }
  for (const Json& put : body.at("puts")) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && !store.leases.contains(lease))
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

std::pair<unsigned, Json> Execute(PlatformStore& store,
                                  const ConnectionPtr& connection,
                                  const std::string& path) {
  const Json body = Json::parse(connection->body, nullptr, false);
  const auto id_after = [&path](const std::string& prefix) {
    return std::stoull(path.substr(prefix.size()));
  };
  if (path == "/kv-txn")
    return Transact(store, body);
  if (path == "/kv-lease") {
    store.leases[store.next_lease] = true;
    return {200,
            {{"lease", store.next_lease++}, {"ttl_time", body["ttl_time"]}}};
  }
  if (path.starts_with("/kv-keep/"))
    return {store.leases.contains(id_after("/kv-keep/")) ? 200U : 404U,
            {{"ttl_time", "12000ms"}}};
  if (path.starts_with("/kv-lease-end/")) {
    EndPlatformLease(store, id_after("/kv-lease-end/"));
    return {200, Json::object()};
  }
  return {404, Json::object()};
}

// Ends the open watches without a response and leaves their connections open.
void DropWatches(PlatformStore& store) {
  for (const PlatformWatch& watch : store.watches)
    watch.timer->cancel();
  store.watches.clear();
}

// Ends the open watches and resets their connections.
void CutWatches(PlatformStore& store) {
  for (const PlatformWatch& watch : store.watches)
    ResetConnection(watch.connection);
  DropWatches(store);
}

void OnCall(const PlatformStorePtr& store, const ConnectionPtr& connection) {
  const std::string path(RequestPath(*connection));
  ++store->calls[path];
  if (store->mode != PlatformStoreMode::kUp) {
    if (store->mode == PlatformStoreMode::kBusy)
      Send(connection, 503, Json::object());
    if (store->mode == PlatformStoreMode::kReset)
      ResetConnection(connection);
    if (store->mode == PlatformStoreMode::kLoseAnswers) {
      Execute(*store, connection, path);
      ResetConnection(connection);
    }
    return;
  }
  if (path == "/kv-key") {
    ReadKey(*store, connection);
  } else if (path == "/kv-range") {
    ReadRange(*store, connection);
  } else if (path == "/kv-watch") {
    StartWatch(store, connection);
  } else {
    const auto [status, body] = Execute(*store, connection, path);
    Send(connection, status, body);
  }
}

}  // namespace

PlatformStorePtr StartPlatformStore(
    const boost::asio::any_io_executor& loop,
    const boost::asio::ip::tcp::endpoint& endpoint) {
  auto store = std::make_shared<PlatformStore>(loop);
  HttpServerOptions options;
  options.endpoint = endpoint;
  options.kept_body_limit = 4 * 1024 * 1024;
  std::weak_ptr<PlatformStore> weak = store;
  store->server =
      StartServer(loop, options, [weak](const ConnectionPtr& connection) {
        if (const auto held = weak.lock())
          OnCall(held, connection);
      });
  return store;
}

void PutPlatformItem(PlatformStore& store,
                     const std::string& key,
                     const std::string& value,
                     std::uint64_t lease) {
  PlatformItem& item = store.items[key];
  ++store.revision;
  if (item.created == 0)
    item.created = store.revision;
  item.key = key;
  item.value = value;
  item.lease = lease;
  item.revision = store.revision;
  Note(store, item);
}

void RemovePlatformItem(PlatformStore& store, const std::string& key) {
  const auto found = store.items.find(key);
  if (found == store.items.end())
    return;
  PlatformItem removal = found->second;
  store.items.erase(found);
  removal.removed = true;
  removal.revision = ++store.revision;
  Note(store, removal);
}

void SetPlatformStoreMode(PlatformStore& store, PlatformStoreMode mode) {
  store.mode = mode;
  if (mode == PlatformStoreMode::kSilent)
    DropWatches(store);
  else if (mode != PlatformStoreMode::kUp)
    CutWatches(store);
}

void ForgetPlatformHistory(PlatformStore& store) {
  store.history.clear();
  store.forgotten = store.revision;
  CutWatches(store);
}

void EndPlatformLease(PlatformStore& store, std::uint64_t lease) {
  store.leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : store.items) {
    if (item.lease == lease)
      keys.push_back(key);
  }
  for (const std::string& key : keys)
    RemovePlatformItem(store, key);
}

void StopPlatformStore(PlatformStore& store) {
  DropWatches(store);
  StopServer(*store.server);
}

}  // namespace poplarfork::standin
