#include "store/client_func.h"

#include <chrono>
#include <utility>

#include <pplx/threadpool.h>

#include "store/gateway_json_func.h"
#include "store/http_call_func.h"
#include "store/now_func.h"

namespace poplarfork::store {

namespace {

using web::json::value;

// cpprestsdk's own timeout for each step of a call, such as connecting. The
// timeout of the whole call is enforced by a timer of this client.
constexpr std::chrono::seconds kTransportTimeout(60);

web::http::client::http_client_config MakeHttpConfig() {
  web::http::client::http_client_config config;
  config.set_timeout(kTransportTimeout);
  return config;
}

base::Error WithPeer(const Client& client, base::Error error) {
  error.peer = client.options.address;
  return error;
}

WriteStatus FailedWriteStatus(CallProgress progress) {
  switch (progress) {
    case CallProgress::kNotSent:
      return WriteStatus::kNotSent;
    case CallProgress::kRefused:
      return WriteStatus::kRefused;
    case CallProgress::kMaybeSent:
      return WriteStatus::kNoReply;
  }
  return WriteStatus::kNoReply;
}

WriteResult MakeFailedWrite(Client& client, const CallFailure& failure) {
  WriteResult result;
  result.status = FailedWriteStatus(failure.progress);
  result.error = failure.error;
  if (result.status == WriteStatus::kNoReply)
    client.counts.no_replies += 1;
  return result;
}

// Returns the result of a write whose reply cannot be parsed. Such a reply does
// not tell whether the write took effect, so the result is kNoReply.
WriteResult MakeUnreadableWrite(Client& client, const base::Error& error) {
  return MakeFailedWrite(
      client, CallFailure{CallProgress::kMaybeSent, WithPeer(client, error)});
}

WriteResult ParseTxnWrite(Client& client, const value& json) {
  auto outcome = ParseTxn(json);
  if (!outcome)
    return MakeUnreadableWrite(client, outcome.error());
  WriteResult result;
  result.revision = outcome.value().revision;
  result.existing = std::move(outcome.value().existing);
  const bool is_written = outcome.value().has_succeeded;
  result.status = is_written ? WriteStatus::kWritten : WriteStatus::kConflict;
  client.counts.conflicts += is_written ? 0 : 1;
  return result;
}

WriteResult ParsePlainWrite(Client& /*client*/, const value& json) {
  WriteResult result;
  result.status = WriteStatus::kWritten;
  result.revision = ParseRevision(json);
  return result;
}

using WriteParser = WriteResult (*)(Client&, const value&);

void SendWrite(const ClientPtr& client,
               const std::string& path,
               const value& body,
               WriteParser parse,
               WriteCallback done) {
  client->counts.writes += 1;
  PostCall(client, CallKind::kWrite, path, body,
           [client, parse, done = std::move(done)](const CallResult& reply) {
             if (reply)
               done(parse(*client, reply.value()));
             else
               done(MakeFailedWrite(*client, reply.error()));
           });
}

base::Result<RangeResult> ParseRangeReply(const Client& client,
                                          const CallResult& reply) {
  if (!reply)
    return reply.error().error;
  auto range = ParseRange(reply.value());
  if (!range)
    return WithPeer(client, range.error());
  return range;
}

void SendLeaseCall(const ClientPtr& client,
                   const std::string& path,
                   const value& body,
                   LeaseCallback done) {
  client->counts.lease_calls += 1;
  PostCall(
      client, CallKind::kWrite, path, body,
      [done = std::move(done)](const CallResult& reply) {
        if (!reply) {
          done(reply.error().error);
          return;
        }
        const value& json = reply.value();
        done(ParseLease(json.has_field("result") ? json.at("result") : json));
      });
}

}  // namespace

Client::Client(const ClientOptions& client_options,
               boost::asio::io_context& asio_loop)
    : options(client_options),
      loop(asio_loop),
      read_client(web::uri("http://" + client_options.address),
                  MakeHttpConfig()),
      budget(MakeCallBudget(client_options.calls_per_second,
                            client_options.call_burst,
                            Now())),
      rng(client_options.seed) {}

ClientPtr MakeClient(const ClientOptions& options) {
  return std::make_shared<Client>(
      options, crossplat::threadpool::shared_instance().service());
}

void Get(const ClientPtr& client, const std::string& key, GetCallback done) {
  GetRange(client, KeyRange{key, ""}, 0,
           [done = std::move(done)](base::Result<RangeResult> range) {
             if (!range) {
               done(range.error());
               return;
             }
             GetResult result;
             result.revision = range.value().revision;
             if (!range.value().entries.empty())
               result.entry = std::move(range.value().entries.front());
             done(std::move(result));
           });
}

void GetRange(const ClientPtr& client,
              const KeyRange& range,
              std::uint64_t limit,
              RangeCallback done) {
  client->counts.reads += 1;
  PostCall(client, CallKind::kRead, "/v3/kv/range", RangeBody(range, limit),
           [client, done = std::move(done)](const CallResult& reply) {
             done(ParseRangeReply(*client, reply));
           });
}

void ListKeys(const ClientPtr& client,
              const KeyRange& range,
              std::uint64_t limit,
              RangeCallback done) {
  client->counts.reads += 1;
  PostCall(client, CallKind::kRead, "/v3/kv/range", KeysOnlyBody(range, limit),
           [client, done = std::move(done)](const CallResult& reply) {
             done(ParseRangeReply(*client, reply));
           });
}

void GetPrefix(const ClientPtr& client,
               const std::string& prefix,
               std::uint64_t limit,
               RangeCallback done) {
  GetRange(client, PrefixRange(prefix), limit, std::move(done));
}

void CreateIfAbsent(const ClientPtr& client,
                    const std::string& key,
                    const std::string& value,
                    LeaseId lease,
                    WriteCallback done) {
  SendWrite(client, "/v3/kv/txn", CreateBody(key, value, lease), ParseTxnWrite,
            std::move(done));
}

void CreateGuarded(const ClientPtr& client,
                   const std::string& key,
                   const std::string& value,
                   const std::string& guard,
                   WriteCallback done) {
  SendWrite(client, "/v3/kv/txn", GuardedCreateBody(key, value, guard),
            ParseTxnWrite, std::move(done));
}

void CompareAndSwap(const ClientPtr& client,
                    const std::string& key,
                    StoreRevision expected,
                    const std::string& value,
                    WriteCallback done) {
  SendWrite(client, "/v3/kv/txn", CompareAndSwapBody(key, expected, value),
            ParseTxnWrite, std::move(done));
}

void Put(const ClientPtr& client,
         const std::string& key,
         const std::string& value,
         WriteCallback done) {
  SendWrite(client, "/v3/kv/put", PutBody(key, value, LeaseId{}),
            ParsePlainWrite, std::move(done));
}

void DeleteRange(const ClientPtr& client,
                 const KeyRange& range,
                 WriteCallback done) {
  SendWrite(client, "/v3/kv/deleterange", RangeBody(range, 0), ParsePlainWrite,
            std::move(done));
}

void GrantLease(const ClientPtr& client,
                base::Duration time_to_live,
                LeaseCallback done) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(time_to_live);
  value body = value::object();
  body["TTL"] = value::string(std::to_string(seconds.count()));
  SendLeaseCall(client, "/v3/lease/grant", body, std::move(done));
}

void KeepAlive(const ClientPtr& client, LeaseId lease, LeaseCallback done) {
  value body = value::object();
  body["ID"] = value::string(std::to_string(lease.value));
  SendLeaseCall(client, "/v3/lease/keepalive", body, std::move(done));
}

KeyRange PrefixRange(const std::string& prefix) {
  std::string end = prefix;
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xFF)
    end.pop_back();
  if (end.empty())
    return KeyRange{prefix, std::string(1, '\0')};
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return KeyRange{prefix, end};
}

}  // namespace poplarfork::store
