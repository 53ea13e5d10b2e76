#include "standin/http_server_func.h"

#include <limits>
#include <utility>

#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>

namespace poplarfork::standin {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;

void ReadRequest(const HttpConnectionPtr& connection);

void RemoveConnection(const HttpConnectionPtr& connection) {
  connection->is_closed = true;
  connection->server->connections.erase(connection->id);
  if (auto on_closed = std::exchange(connection->on_closed, nullptr))
    on_closed();
}

void CloseAndRemove(const HttpConnectionPtr& connection) {
  if (connection->is_closed)
    return;
  error_code ignored;
  connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
  connection->socket.close(ignored);
  RemoveConnection(connection);
}

void ReadBody(const HttpConnectionPtr& connection);

void InvokeHandler(const HttpConnectionPtr& connection) {
  connection->head.base() = connection->parser->get().base();
  if (connection->server->handler)
    connection->server->handler(connection);
}

void BufferBodyChunk(const HttpConnectionPtr& connection, std::size_t bytes) {
  connection->body_bytes += bytes;
  const std::size_t limit = connection->server->options.max_buffered_body_bytes;
  const std::size_t free_bytes =
      limit - std::min(limit, connection->body.size());
  connection->body.append(connection->body_chunk, 0,
                          std::min(free_bytes, bytes));
}

void OnBodyRead(const HttpConnectionPtr& connection, error_code error) {
  if (connection->is_silent || connection->is_closed)
    return;
  auto& body = connection->parser->get().body();
  BufferBodyChunk(connection, connection->body_chunk.size() - body.size);
  if (error && error != http::error::need_buffer) {
    CloseAndRemove(connection);
    return;
  }
  ReadBody(connection);
}

void ReadBody(const HttpConnectionPtr& connection) {
  if (connection->parser->is_done()) {
    InvokeHandler(connection);
    return;
  }
  connection->body_chunk.resize(kReadChunkBytes);
  auto& body = connection->parser->get().body();
  body.data = connection->body_chunk.data();
  body.size = connection->body_chunk.size();
  http::async_read(connection->socket, connection->buffer, *connection->parser,
                   [connection](error_code error, std::size_t) {
                     OnBodyRead(connection, error);
                   });
}

void OnHeadRead(const HttpConnectionPtr& connection, error_code error) {
  if (connection->is_silent || connection->is_closed)
    return;
  if (error) {
    CloseAndRemove(connection);
    return;
  }
  const auto expect = connection->parser->get()[http::field::expect];
  if (!boost::beast::iequals(expect, "100-continue")) {
    ReadBody(connection);
    return;
  }
  SendBytes(connection, "HTTP/1.1 100 Continue\r\n\r\n",
            [connection](bool sent) {
              if (sent)
                ReadBody(connection);
            });
}

void ReadRequest(const HttpConnectionPtr& connection) {
  connection->parser.emplace();
  connection->parser->header_limit(kMaxHeadBytes);
  // The largest number stands for "no limit", because Boost 1.74 rejects
  // every Content-Length when the limit is boost::none.
  connection->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  connection->body.clear();
  connection->body_bytes = 0;
  http::async_read_header(connection->socket, connection->buffer,
                          *connection->parser,
                          [connection](error_code error, std::size_t) {
                            OnHeadRead(connection, error);
                          });
}

bool IsConnectionLimitReached(const HttpServer& server) {
  const std::size_t limit = server.options.max_connections;
  return limit != 0 && server.connections.size() >= limit;
}

void ResetSocket(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void OnAccept(const HttpServerPtr& server, tcp::socket socket) {
  server->accepted_connections += 1;
  if (IsConnectionLimitReached(*server)) {
    server->rejected_connections += 1;
    ResetSocket(socket);
    return;
  }
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  // The synchronous peek in `WatchForClose` must not block the loop.
  socket.non_blocking(true, ignored);
  auto connection = std::make_shared<HttpConnection>(std::move(socket));
  connection->id = server->accepted_connections;
  connection->server = server;
  server->connections.emplace(connection->id, connection);
  ReadRequest(connection);
}

void AcceptNext(const HttpServerPtr& server) {
  server->acceptor.async_accept([server](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted)
      return;
    if (!error)
      OnAccept(server, std::move(socket));
    if (server->acceptor.is_open())
      AcceptNext(server);
  });
}

void Listen(const HttpServerPtr& server) {
  const tcp::endpoint& endpoint = server->options.endpoint;
  server->acceptor.open(endpoint.protocol());
  server->acceptor.set_option(tcp::acceptor::reuse_address(true));
  server->acceptor.bind(endpoint);
  server->acceptor.listen(boost::asio::socket_base::max_listen_connections);
  server->options.endpoint = server->acceptor.local_endpoint();
  AcceptNext(server);
}

}  // namespace

HttpServerPtr StartHttpServer(const boost::asio::any_io_executor& loop,
                              const HttpServerOptions& options,
                              RequestHandler handler) {
  auto server = std::make_shared<HttpServer>(loop);
  server->options = options;
  server->handler = std::move(handler);
  Listen(server);
  return server;
}

std::string ListeningAddress(const HttpServer& server) {
  const tcp::endpoint& endpoint = server.options.endpoint;
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void StopAccepting(HttpServer& server) {
  error_code ignored;
  server.acceptor.close(ignored);
}

void ResumeAccepting(const HttpServerPtr& server) {
  if (!server->acceptor.is_open())
    Listen(server);
}

void ResetConnections(HttpServer& server) {
  const auto open_connections = server.connections;
  for (const auto& [id, connection] : open_connections)
    ResetConnection(connection);
}

void SilenceConnections(HttpServer& server, const HttpConnectionPtr& excluded) {
  const auto open_connections = std::exchange(server.connections, {});
  for (const auto& [id, connection] : open_connections) {
    if (connection == excluded) {
      server.connections.emplace(id, connection);
      continue;
    }
    connection->is_silent = true;
    server.silent_connections.push_back(connection);
  }
}

void StopHttpServer(HttpServer& server) {
  server.handler = nullptr;
  StopAccepting(server);
  ResetConnections(server);
  const auto silent_connections = std::exchange(server.silent_connections, {});
  for (const HttpConnectionPtr& connection : silent_connections)
    ResetConnection(connection);
}

void SendResponse(const HttpConnectionPtr& connection,
                  const Response& response,
                  std::function<void()> on_sent) {
  http::response<http::string_body> http_response;
  http_response.result(response.status);
  http_response.set(http::field::content_type, response.content_type);
  for (const ResponseHeader& header : response.headers)
    http_response.insert(header.name, header.value);
  http_response.keep_alive(connection->head.keep_alive());
  http_response.body() = response.body;
  http_response.prepare_payload();
  auto message =
      std::make_shared<decltype(http_response)>(std::move(http_response));
  connection->on_closed = nullptr;
  if (connection->is_silent || connection->is_closed) {
    if (on_sent)
      on_sent();
    return;
  }
  http::async_write(connection->socket, *message,
                    [connection, message, on_sent = std::move(on_sent)](
                        error_code error, std::size_t) {
                      if (on_sent)
                        on_sent();
                      if (error)
                        CloseAndRemove(connection);
                      else
                        FinishResponse(connection);
                    });
}

void SendBytes(const HttpConnectionPtr& connection,
               std::string bytes,
               std::function<void(bool)> on_sent) {
  if (connection->is_silent || connection->is_closed) {
    on_sent(false);
    return;
  }
  auto data = std::make_shared<std::string>(std::move(bytes));
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(*data),
      [connection, data, on_sent = std::move(on_sent)](error_code error,
                                                       std::size_t) {
        if (error)
          CloseAndRemove(connection);
        on_sent(!error && !connection->is_closed && !connection->is_silent);
      });
}

void FinishResponse(const HttpConnectionPtr& connection) {
  connection->on_closed = nullptr;
  if (connection->is_silent || connection->is_closed)
    return;
  if (connection->head.keep_alive())
    ReadRequest(connection);
  else
    CloseAndRemove(connection);
}

void WatchForClose(const HttpConnectionPtr& connection,
                   std::function<void()> on_closed) {
  connection->on_closed = std::move(on_closed);
  connection->socket.async_wait(
      tcp::socket::wait_read, [connection](error_code error) {
        if (error || connection->is_closed || connection->is_silent)
          return;
        char byte = 0;
        error_code peek_error;
        connection->socket.receive(boost::asio::buffer(&byte, 1),
                                   boost::asio::socket_base::message_peek,
                                   peek_error);
        if (peek_error && peek_error != boost::asio::error::would_block)
          CloseAndRemove(connection);
      });
}

void CloseConnection(const HttpConnectionPtr& connection) {
  CloseAndRemove(connection);
}

void ResetConnection(const HttpConnectionPtr& connection) {
  if (connection->is_closed)
    return;
  ResetSocket(connection->socket);
  RemoveConnection(connection);
}

std::string_view RequestPath(const HttpConnection& connection) {
  const auto target = connection.head.target();
  const std::string_view text(target.data(), target.size());
  return text.substr(0, text.find('?'));
}

std::string QueryValue(const HttpConnection& connection,
                       std::string_view name) {
  const auto target = connection.head.target();
  std::string_view rest(target.data(), target.size());
  std::size_t end = rest.find('?');
  while (end != std::string_view::npos) {
    rest.remove_prefix(end + 1);
    end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos)
      return std::string(pair.substr(equals + 1));
  }
  return "";
}

std::string HeaderValue(const HttpConnection& connection,
                        std::string_view name) {
  const auto value = connection.head[{name.data(), name.size()}];
  return {value.data(), value.size()};
}

}  // namespace poplarfork::standin
