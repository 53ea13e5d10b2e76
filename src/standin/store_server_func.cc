#include "standin/store_server_func.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <utility>

#include "base/error_func.h"
#include "standin/control_func.h"
#include "standin/http_server_func.h"
#include "standin/json_func.h"
#include "standin/loop_time_func.h"
#include "standin/store_fault_func.h"
#include "standin/store_json_func.h"
#include "standin/store_state_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

constexpr std::chrono::milliseconds kLeaseTick(50);
// A value of 1 MB takes 1.4 MB in base64, and a transaction may hold several
// values.
constexpr std::size_t kKeptBodyBytes = 8 * 1024 * 1024;

std::string ChunkOf(const value& json) {
  const std::string line = json.serialize() + "\n";
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
  return size.data() + line + "\r\n";
}

void RemoveWatch(StoreServer& store, const std::shared_ptr<StoreWatch>& watch) {
  std::erase(store.watches, watch);
}

void PumpWatch(const StoreServerPtr& store,
               const std::shared_ptr<StoreWatch>& watch);

void SendToWatch(const StoreServerPtr& store,
                 const std::shared_ptr<StoreWatch>& watch,
                 std::string bytes) {
  watch->is_sending = true;
  SendBytes(watch->connection, std::move(bytes), [store, watch](bool sent) {
    watch->is_sending = false;
    if (sent)
      PumpWatch(store, watch);
    else
      RemoveWatch(*store, watch);
  });
}

// Sends the changes that have not been sent to the watch yet. While the fault
// "down" is active, nothing is sent.
void PumpWatch(const StoreServerPtr& store,
               const std::shared_ptr<StoreWatch>& watch) {
  if (watch->is_sending || store->faults.is_down)
    return;
  const auto events =
      EventsSince(store->state, watch->request.range, watch->next_revision);
  watch->next_revision = store->state.revision + 1;
  if (!events.empty()) {
    SendToWatch(store, watch,
                ChunkOf(EventsJson(events, store->state.revision)));
  }
}

void PumpWatches(const StoreServerPtr& store) {
  const auto watches = store->watches;
  for (const auto& watch : watches)
    PumpWatch(store, watch);
}

value WatchCreatedJson(const StoreState& state, bool is_compacted) {
  value result = value::object();
  result["header"] = HeaderJson(state.revision);
  result["created"] = value::boolean(true);
  if (is_compacted) {
    result["canceled"] = value::boolean(true);
    result["compact_revision"] = CountText(state.compacted_revision + 1);
  }
  value json = value::object();
  json["result"] = std::move(result);
  return json;
}

void StartWatch(const StoreServerPtr& store,
                const ConnectionPtr& connection,
                const value& body) {
  const auto request = ReadWatchRequest(body);
  if (!request) {
    SendReply(connection, ErrorReply(400, request.error()));
    return;
  }
  auto watch = std::make_shared<StoreWatch>();
  watch->connection = connection;
  watch->request = request.value();
  const std::uint64_t start = watch->request.start_revision;
  watch->next_revision = start != 0 ? start : store->state.revision + 1;
  const bool is_compacted =
      start != 0 && start <= store->state.compacted_revision;
  if (!is_compacted)
    store->watches.push_back(watch);
  WatchForClose(connection, [store, watch]() { RemoveWatch(*store, watch); });
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  SendToWatch(store, watch,
              head + ChunkOf(WatchCreatedJson(store->state, is_compacted)));
}

// Handlers of the lease calls.

Reply GrantReply(StoreServer& store, const value& body) {
  const std::uint64_t seconds = CountMember(body, "TTL", 0);
  if (seconds == 0) {
    return ErrorReply(400, base::MakeError(base::ErrorCode::kOutOfRange,
                                           base::Step::kStoreCall, "TTL",
                                           "must be at least 1 second"));
  }
  const auto lease =
      GrantLease(store.state, std::chrono::seconds(seconds), Now());
  value json = value::object();
  json["header"] = HeaderJson(store.state.revision);
  json["ID"] = CountText(lease);
  json["TTL"] = CountText(seconds);
  return JsonReply(200, json);
}

Reply KeepAliveReply(StoreServer& store, const value& body) {
  const std::uint64_t lease = CountMember(body, "ID", 0);
  const base::Duration left = KeepLeaseAlive(store.state, lease, Now());
  value result = value::object();
  result["header"] = HeaderJson(store.state.revision);
  result["ID"] = CountText(lease);
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
  if (seconds.count() != 0)
    result["TTL"] = CountText(static_cast<std::uint64_t>(seconds.count()));
  value json = value::object();
  json["result"] = std::move(result);
  return JsonReply(200, json);
}

Reply RevokeReply(StoreServer& store, const value& body) {
  if (!RevokeLease(store.state, CountMember(body, "ID", 0))) {
    return ErrorReply(
        404, base::MakeError(base::ErrorCode::kMissing, base::Step::kStoreCall,
                             "lease", "requested lease not found"));
  }
  value json = value::object();
  json["header"] = HeaderJson(store.state.revision);
  return JsonReply(200, json);
}

// Handlers of the calls that read or write keys.

template <class Request>
Reply OperationReply(StoreServer& store, base::Result<Request> request) {
  if (!request)
    return ErrorReply(400, request.error());
  const auto answer = Run(store.state, StoreOperation(request.value()));
  if (!answer)
    return ErrorReply(400, answer.error());
  return JsonReply(200, AnswerJson(answer.value(), store.state.revision));
}

Reply RangeReply(StoreServer& store, const value& body) {
  return OperationReply(store, ReadRangeRequest(body));
}

Reply PutReply(StoreServer& store, const value& body) {
  return OperationReply(store, ReadPutRequest(body));
}

Reply DeleteReply(StoreServer& store, const value& body) {
  return OperationReply(store, ReadDeleteRequest(body));
}

Reply TxnReply(StoreServer& store, const value& body) {
  const auto request = ReadTxnRequest(body);
  if (!request)
    return ErrorReply(400, request.error());
  const auto answer = RunTxn(store.state, request.value());
  if (!answer)
    return ErrorReply(400, answer.error());
  return JsonReply(200, TxnJson(answer.value(), store.state.revision));
}

// A path of the JSON gateway with its handler and the counter of its calls.
struct Call {
  std::string_view path;
  Reply (*run)(StoreServer&, const value&);
  std::uint64_t StoreCounts::*count;
  bool is_write;
};

constexpr std::array<Call, 7> kCalls = {{
    {"/v3/kv/range", RangeReply, &StoreCounts::range, false},
    {"/v3/kv/put", PutReply, &StoreCounts::put, true},
    {"/v3/kv/txn", TxnReply, &StoreCounts::txn, true},
    {"/v3/kv/deleterange", DeleteReply, &StoreCounts::deleterange, true},
    {"/v3/lease/grant", GrantReply, &StoreCounts::lease_grant, true},
    {"/v3/lease/keepalive", KeepAliveReply, &StoreCounts::lease_keepalive,
     false},
    {"/v3/lease/revoke", RevokeReply, &StoreCounts::lease_revoke, true},
}};

void GiveNoAnswer(const ConnectionPtr& connection, NoAnswerMode mode) {
  if (mode == NoAnswerMode::kClose)
    CloseConnection(connection);
  else
    WatchForClose(connection, {});
}

void RunCall(const StoreServerPtr& store,
             const ConnectionPtr& connection,
             const Call& call,
             const value& body) {
  const Reply reply = call.run(*store, body);
  PumpWatches(store);
  if (call.is_write && TakeLostReply(store->faults)) {
    store->counts.lost_replies += 1;
    GiveNoAnswer(connection, store->faults.lost_mode);
    return;
  }
  SendReply(connection, reply);
}

void Dispatch(const StoreServerPtr& store, const ConnectionPtr& connection) {
  const auto body = ParseObject(connection->body);
  if (!body) {
    SendReply(connection, ErrorReply(400, body.error()));
    return;
  }
  const std::string_view path = RequestPath(*connection);
  if (path == "/v3/watch") {
    store->counts.watch += 1;
    StartWatch(store, connection, body.value());
    return;
  }
  for (const Call& call : kCalls) {
    if (path != call.path)
      continue;
    store->counts.*call.count += 1;
    RunCall(store, connection, call, body.value());
    return;
  }
  SendReply(connection, NotFoundReply());
}

void DispatchLater(const StoreServerPtr& store,
                   const ConnectionPtr& connection) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      store->server->executor, store->faults.slow);
  timer->async_wait([store, connection, timer](boost::system::error_code) {
    if (!connection->is_closed)
      Dispatch(store, connection);
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

void ControlFault(const StoreServerPtr& store,
                  const ConnectionPtr& connection) {
  const auto command = ParseObject(connection->body);
  if (!command) {
    SendReply(connection, ErrorReply(400, command.error()));
    return;
  }
  const auto result =
      ApplyStoreFault(store->faults, store->state, command.value());
  const StoreFaults& faults = store->faults;
  if (faults.is_down && faults.down_mode == NoAnswerMode::kClose)
    CloseWatches(*store);
  PumpWatches(store);
  SendReply(connection, ControlReply(result));
}

void OnRequest(const StoreServerPtr& store, const ConnectionPtr& connection) {
  const std::string_view path = RequestPath(*connection);
  if (path == "/fault" || path == "/control/fault") {
    ControlFault(store, connection);
    return;
  }
  if (path == "/counts" || path == "/control/counts") {
    SendReply(connection,
              JsonReply(200, CountsJson(store->counts, store->watches.size(),
                                        store->state)));
    return;
  }
  if (store->faults.is_down) {
    store->counts.refused += 1;
    GiveNoAnswer(connection, store->faults.down_mode);
    return;
  }
  if (store->faults.slow > base::Duration::zero())
    DispatchLater(store, connection);
  else
    Dispatch(store, connection);
}

void TickLeases(const StoreServerPtr& store) {
  store->lease_timer.expires_after(kLeaseTick);
  store->lease_timer.async_wait([store](boost::system::error_code error) {
    if (error)
      return;
    ExpireLeases(store->state, Now());
    PumpWatches(store);
    TickLeases(store);
  });
}

}  // namespace

StoreServerPtr StartStore(const boost::asio::any_io_executor& loop,
                          const boost::asio::ip::tcp::endpoint& endpoint) {
  auto store = std::make_shared<StoreServer>(loop);
  HttpServerOptions options;
  options.endpoint = endpoint;
  options.kept_body_limit = kKeptBodyBytes;
  store->server =
      StartServer(loop, options, [store](const ConnectionPtr& connection) {
        OnRequest(store, connection);
      });
  TickLeases(store);
  return store;
}

void StopStore(StoreServer& store) {
  store.lease_timer.cancel();
  StopServer(*store.server);
}

}  // namespace poplarfork::standin
