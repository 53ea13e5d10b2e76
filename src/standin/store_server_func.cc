#include "standin/store_server_func.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <utility>

#include "base/error_func.h"
#include "standin/http_server_func.h"
#include "standin/json_func.h"
#include "standin/monotonic_clock_func.h"
#include "standin/response_func.h"
#include "standin/store_fault_func.h"
#include "standin/store_json_func.h"
#include "standin/store_state_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

constexpr std::chrono::milliseconds kLeaseExpiryInterval(50);
// A value of 1 MB takes 1.4 MB in base64, and a transaction may hold several
// values.
constexpr std::size_t kMaxBufferedBodyBytes = 8 * 1024 * 1024;

std::string MakeHttpChunk(const value& json) {
  const std::string line = json.serialize() + "\n";
  std::array<char, 24> size_line{};
  std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", line.size());
  return size_line.data() + line + "\r\n";
}

void RemoveWatch(StoreServer& store, const std::shared_ptr<StoreWatch>& watch) {
  std::erase(store.watches, watch);
}

void SendNewEvents(const StoreServerPtr& store,
                   const std::shared_ptr<StoreWatch>& watch);

void SendToWatch(const StoreServerPtr& store,
                 const std::shared_ptr<StoreWatch>& watch,
                 std::string bytes) {
  watch->is_sending = true;
  SendBytes(watch->connection, std::move(bytes), [store, watch](bool sent) {
    watch->is_sending = false;
    if (sent)
      SendNewEvents(store, watch);
    else
      RemoveWatch(*store, watch);
  });
}

// Sends the changes that have not been sent to the watch yet. While the fault
// "down" is active, nothing is sent.
void SendNewEvents(const StoreServerPtr& store,
                   const std::shared_ptr<StoreWatch>& watch) {
  if (watch->is_sending || store->faults.is_down)
    return;
  const auto events =
      EventsSince(store->state, watch->request.range, watch->next_revision);
  watch->next_revision = store->state.revision + 1;
  if (!events.empty()) {
    SendToWatch(store, watch,
                MakeHttpChunk(EventsJson(events, store->state.revision)));
  }
}

void SendNewEventsToWatches(const StoreServerPtr& store) {
  const auto watches = store->watches;
  for (const auto& watch : watches)
    SendNewEvents(store, watch);
}

value WatchCreatedJson(const StoreState& state, bool is_compacted) {
  value result = value::object();
  result["header"] = HeaderJson(state.revision);
  result["created"] = value::boolean(true);
  if (is_compacted) {
    result["canceled"] = value::boolean(true);
    result["compact_revision"] = Uint64ToJson(state.compacted_revision + 1);
  }
  value json = value::object();
  json["result"] = std::move(result);
  return json;
}

void StartWatch(const StoreServerPtr& store,
                const HttpConnectionPtr& connection,
                const value& body) {
  const auto request = ReadWatchRequest(body);
  if (!request) {
    SendResponse(connection, MakeErrorResponse(400, request.error()));
    return;
  }
  auto watch = std::make_shared<StoreWatch>();
  watch->connection = connection;
  watch->request = request.value();
  const std::uint64_t start_revision = watch->request.start_revision;
  watch->next_revision =
      start_revision != 0 ? start_revision : store->state.revision + 1;
  const bool is_compacted =
      start_revision != 0 && start_revision <= store->state.compacted_revision;
  if (!is_compacted)
    store->watches.push_back(watch);
  WatchForClose(connection, [store, watch]() { RemoveWatch(*store, watch); });
  const std::string response_head =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  SendToWatch(store, watch,
              response_head +
                  MakeHttpChunk(WatchCreatedJson(store->state, is_compacted)));
}

// Handlers of the lease calls.

Response HandleLeaseGrant(StoreServer& store, const value& body) {
  const std::uint64_t seconds = Uint64Member(body, "TTL", 0);
  if (seconds == 0) {
    return MakeErrorResponse(400, base::MakeError(base::ErrorCode::kOutOfRange,
                                                  base::Step::kStoreCall, "TTL",
                                                  "must be at least 1 second"));
  }
  const auto lease_id =
      GrantLease(store.state, std::chrono::seconds(seconds), Now());
  value json = value::object();
  json["header"] = HeaderJson(store.state.revision);
  json["ID"] = Uint64ToJson(lease_id);
  json["TTL"] = Uint64ToJson(seconds);
  return MakeJsonResponse(200, json);
}

Response HandleLeaseKeepAlive(StoreServer& store, const value& body) {
  const std::uint64_t lease_id = Uint64Member(body, "ID", 0);
  const base::Duration time_to_live =
      KeepLeaseAlive(store.state, lease_id, Now());
  value result = value::object();
  result["header"] = HeaderJson(store.state.revision);
  result["ID"] = Uint64ToJson(lease_id);
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(time_to_live);
  if (seconds.count() != 0)
    result["TTL"] = Uint64ToJson(static_cast<std::uint64_t>(seconds.count()));
  value json = value::object();
  json["result"] = std::move(result);
  return MakeJsonResponse(200, json);
}

Response HandleLeaseRevoke(StoreServer& store, const value& body) {
  if (!RevokeLease(store.state, Uint64Member(body, "ID", 0))) {
    return MakeErrorResponse(
        404, base::MakeError(base::ErrorCode::kMissing, base::Step::kStoreCall,
                             "lease", "requested lease not found"));
  }
  value json = value::object();
  json["header"] = HeaderJson(store.state.revision);
  return MakeJsonResponse(200, json);
}

// Handlers of the calls that read or write keys.

template <class Request>
Response HandleOperation(StoreServer& store, base::Result<Request> request) {
  if (!request)
    return MakeErrorResponse(400, request.error());
  const auto operation_result =
      RunOperation(store.state, StoreOperation(request.value()));
  if (!operation_result)
    return MakeErrorResponse(400, operation_result.error());
  return MakeJsonResponse(
      200, OperationResultJson(operation_result.value(), store.state.revision));
}

Response HandleRange(StoreServer& store, const value& body) {
  return HandleOperation(store, ReadRangeRequest(body));
}

Response HandlePut(StoreServer& store, const value& body) {
  return HandleOperation(store, ReadPutRequest(body));
}

Response HandleDeleteRange(StoreServer& store, const value& body) {
  return HandleOperation(store, ReadDeleteRequest(body));
}

Response HandleTxn(StoreServer& store, const value& body) {
  const auto request = ReadTxnRequest(body);
  if (!request)
    return MakeErrorResponse(400, request.error());
  const auto txn_result = RunTxn(store.state, request.value());
  if (!txn_result)
    return MakeErrorResponse(400, txn_result.error());
  return MakeJsonResponse(
      200, TxnResultJson(txn_result.value(), store.state.revision));
}

// A path of the JSON gateway with its handler and the counter of its calls.
struct StoreCall {
  std::string_view path;
  Response (*handle)(StoreServer&, const value&);
  std::uint64_t StoreCounts::*counter;
  bool is_write;
};

constexpr std::array<StoreCall, 7> kCalls = {{
    {"/v3/kv/range", HandleRange, &StoreCounts::range, false},
    {"/v3/kv/put", HandlePut, &StoreCounts::put, true},
    {"/v3/kv/txn", HandleTxn, &StoreCounts::txn, true},
    {"/v3/kv/deleterange", HandleDeleteRange, &StoreCounts::deleterange, true},
    {"/v3/lease/grant", HandleLeaseGrant, &StoreCounts::lease_grant, true},
    {"/v3/lease/keepalive", HandleLeaseKeepAlive, &StoreCounts::lease_keepalive,
     false},
    {"/v3/lease/revoke", HandleLeaseRevoke, &StoreCounts::lease_revoke, true},
}};

void WithholdReply(const HttpConnectionPtr& connection, NoReplyMode mode) {
  if (mode == NoReplyMode::kClose)
    CloseConnection(connection);
  else
    WatchForClose(connection, {});
}

void ExecuteCall(const StoreServerPtr& store,
                 const HttpConnectionPtr& connection,
                 const StoreCall& call,
                 const value& body) {
  const Response response = call.handle(*store, body);
  SendNewEventsToWatches(store);
  if (call.is_write && ConsumeReplyLoss(store->faults)) {
    store->counts.lost_replies += 1;
    WithholdReply(connection, store->faults.lost_reply_mode);
    return;
  }
  SendResponse(connection, response);
}

void HandleCall(const StoreServerPtr& store,
                const HttpConnectionPtr& connection) {
  const auto body = ParseJsonObject(connection->body);
  if (!body) {
    SendResponse(connection, MakeErrorResponse(400, body.error()));
    return;
  }
  const std::string_view path = RequestPath(*connection);
  if (path == "/v3/watch") {
    store->counts.watch += 1;
    StartWatch(store, connection, body.value());
    return;
  }
  for (const StoreCall& call : kCalls) {
    if (path != call.path)
      continue;
    store->counts.*call.counter += 1;
    ExecuteCall(store, connection, call, body.value());
    return;
  }
  SendResponse(connection, MakeNotFoundResponse());
}

void HandleCallAfterDelay(const StoreServerPtr& store,
                          const HttpConnectionPtr& connection) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      store->server->executor, store->faults.reply_delay);
  timer->async_wait([store, connection, timer](boost::system::error_code) {
    if (!connection->is_closed)
      HandleCall(store, connection);
  });
}

// Closes the connections of the open watches. Used when the store goes down
// with `NoReplyMode::kClose`, because a store that is down keeps no connection
// open.
void CloseWatches(StoreServer& store) {
  const auto watches = store.watches;
  for (const auto& watch : watches)
    CloseConnection(watch->connection);
}

void HandleFaultCommand(const StoreServerPtr& store,
                        const HttpConnectionPtr& connection) {
  const auto command = ParseJsonObject(connection->body);
  if (!command) {
    SendResponse(connection, MakeErrorResponse(400, command.error()));
    return;
  }
  const auto result =
      ApplyStoreFault(store->faults, store->state, command.value());
  const StoreFaults& faults = store->faults;
  if (faults.is_down && faults.down_mode == NoReplyMode::kClose)
    CloseWatches(*store);
  SendNewEventsToWatches(store);
  SendResponse(connection, MakeCommandResponse(result));
}

void OnRequest(const StoreServerPtr& store,
               const HttpConnectionPtr& connection) {
  const std::string_view path = RequestPath(*connection);
  if (path == "/fault" || path == "/control/fault") {
    HandleFaultCommand(store, connection);
    return;
  }
  if (path == "/counts" || path == "/control/counts") {
    SendResponse(connection,
                 MakeJsonResponse(
                     200, StoreCountsJson(store->counts, store->watches.size(),
                                          store->state)));
    return;
  }
  if (store->faults.is_down) {
    store->counts.refused += 1;
    WithholdReply(connection, store->faults.down_mode);
    return;
  }
  if (store->faults.reply_delay > base::Duration::zero())
    HandleCallAfterDelay(store, connection);
  else
    HandleCall(store, connection);
}

void ScheduleLeaseExpiry(const StoreServerPtr& store) {
  store->lease_timer.expires_after(kLeaseExpiryInterval);
  store->lease_timer.async_wait([store](boost::system::error_code error) {
    if (error)
      return;
    ExpireLeases(store->state, Now());
    SendNewEventsToWatches(store);
    ScheduleLeaseExpiry(store);
  });
}

}  // namespace

StoreServerPtr StartStore(const boost::asio::any_io_executor& loop,
                          const boost::asio::ip::tcp::endpoint& endpoint) {
  auto store = std::make_shared<StoreServer>(loop);
  HttpServerOptions options;
  options.endpoint = endpoint;
  options.max_buffered_body_bytes = kMaxBufferedBodyBytes;
  store->server = StartHttpServer(loop, options,
                                  [store](const HttpConnectionPtr& connection) {
                                    OnRequest(store, connection);
                                  });
  ScheduleLeaseExpiry(store);
  return store;
}

void StopStore(StoreServer& store) {
  store.lease_timer.cancel();
  StopHttpServer(*store.server);
}

}  // namespace poplarfork::standin
