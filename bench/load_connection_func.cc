#include "bench/load_connection_func.h"

#include <limits>
#include <utility>

namespace poplarfork::bench {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kChunkBytes = 64 * 1024;

void FinishRequest(const LoadConnectionPtr& connection,
                   const RequestResult& result) {
  connection->timer.cancel();
  connection->is_busy = false;
  const ResultCallback on_done = std::exchange(connection->on_done, nullptr);
  on_done(result);
}

void FailRequest(const LoadConnectionPtr& connection) {
  error_code ignored;
  connection->socket.close(ignored);
  connection->buffer.clear();
  RequestResult result;
  result.timed_out = connection->timed_out;
  FinishRequest(connection, result);
}

void CompleteRequest(const LoadConnectionPtr& connection) {
  RequestResult result;
  result.http_status = connection->parser->get().result_int();
  result.response_bytes = connection->check.received_bytes;
  if (connection->options.verifies_responses && result.http_status == 200)
    result.fault = EvaluateResponse(connection->check);
  if (!connection->parser->get().keep_alive()) {
    error_code ignored;
    connection->socket.close(ignored);
  }
  FinishRequest(connection, result);
}

void ReadBodyChunk(const LoadConnectionPtr& connection);

void OnBodyRead(const LoadConnectionPtr& connection, error_code error) {
  const std::size_t unused_bytes = connection->parser->get().body().size;
  const std::size_t received_bytes = connection->chunk.size() - unused_bytes;
  if (connection->options.verifies_responses)
    CheckBodyChunk(connection->check,
                   {connection->chunk.data(), received_bytes});
  else
    connection->check.received_bytes += received_bytes;
  if (error && error != http::error::need_buffer)
    FailRequest(connection);
  else
    ReadBodyChunk(connection);
}

void ReadBodyChunk(const LoadConnectionPtr& connection) {
  if (connection->parser->is_done()) {
    CompleteRequest(connection);
    return;
  }
  connection->chunk.resize(kChunkBytes);
  auto& body = connection->parser->get().body();
  body.data = connection->chunk.data();
  body.size = connection->chunk.size();
  http::async_read(connection->socket, connection->buffer, *connection->parser,
                   [connection](error_code error, std::size_t) {
                     OnBodyRead(connection, error);
                   });
}

void ReadResponse(const LoadConnectionPtr& connection) {
  connection->parser.emplace();
  connection->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (connection->request.method() == http::verb::head)
    connection->parser->skip(true);
  http::async_read_header(connection->socket, connection->buffer,
                          *connection->parser,
                          [connection](error_code error, std::size_t) {
                            if (error)
                              FailRequest(connection);
                            else
                              ReadBodyChunk(connection);
                          });
}

void WriteRequest(const LoadConnectionPtr& connection) {
  http::async_write(connection->socket, connection->request,
                    [connection](error_code error, std::size_t) {
                      if (error)
                        FailRequest(connection);
                      else
                        ReadResponse(connection);
                    });
}

void Connect(const LoadConnectionPtr& connection) {
  connection->socket.async_connect(
      connection->endpoint, [connection](error_code error) {
        if (error) {
          FailRequest(connection);
          return;
        }
        error_code ignored;
        connection->socket.set_option(boost::asio::ip::tcp::no_delay(true),
                                      ignored);
        WriteRequest(connection);
      });
}

void MakeRequest(LoadConnection& connection, const RequestPlan& plan) {
  const LoadOptions& options = connection.options;
  auto& request = connection.request;
  request = {};
  request.method_string(options.method);
  request.target(plan.request_target);
  request.set(http::field::host, options.host);
  if (!options.account.empty())
    request.set("Poplarfork-Account", options.account);
  if (!plan.idempotency_key.empty())
    request.set("Idempotency-Key", plan.idempotency_key);
  request.body() = std::string(options.body_bytes, 'x');
  request.prepare_payload();
}

}  // namespace

void SendRequest(const LoadConnectionPtr& connection,
                 const RequestPlan& plan,
                 ResultCallback on_done) {
  connection->is_busy = true;
  connection->timed_out = false;
  connection->on_done = std::move(on_done);
  connection->check = ResponseCheck{};
  connection->check.plan = plan;
  MakeRequest(*connection, plan);
  connection->timer.expires_after(connection->options.request_timeout);
  const std::uint64_t request_number = plan.request_number;
  connection->timer.async_wait([connection, request_number](error_code error) {
    if (error || connection->check.plan.request_number != request_number)
      return;
    connection->timed_out = true;
    error_code ignored;
    connection->socket.close(ignored);
  });
  if (connection->socket.is_open())
    WriteRequest(connection);
  else
    Connect(connection);
}

}  // namespace poplarfork::bench
