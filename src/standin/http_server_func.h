#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "standin/http_server_type.h"
#include "standin/response_type.h"

namespace poplarfork::standin {

// Starts a server that listens on `options.endpoint`; with port 0 the system
// chooses a free port. Throws boost::system::system_error when the address
// cannot be bound.
HttpServerPtr StartHttpServer(const boost::asio::any_io_executor& loop,
                              const HttpServerOptions& options,
                              RequestHandler handler);

// Returns "IP:PORT" of the listening socket.
std::string ListeningAddress(const HttpServer& server);

// Closes the listening socket, so that new connections are refused.
void StopAccepting(HttpServer& server);

// Listens on the same port again after `StopAccepting`.
void ResumeAccepting(const HttpServerPtr& server);

// Closes all open connections with a TCP reset.
void ResetConnections(HttpServer& server);

// Turns all open connections silent, except `excluded`. Silent connections do
// not count towards `max_connections`.
void SilenceConnections(HttpServer& server, const HttpConnectionPtr& excluded);

// Stops accepting connections, resets all connections, silent ones included,
// and removes the handler.
void StopHttpServer(HttpServer& server);

// Sends `response`. Then reads the next request, or closes the connection when
// the request asked for that. `on_sent` is called after the last byte has been
// written, or when the connection has failed.
void SendResponse(const HttpConnectionPtr& connection,
                  const Response& response,
                  std::function<void()> on_sent = {});

// Writes `bytes` to the connection unchanged. `on_sent` is called with false
// when the connection has failed or is silent.
void SendBytes(const HttpConnectionPtr& connection,
               std::string bytes,
               std::function<void(bool)> on_sent);

// Reads the next request after a response that was written with `SendBytes`, or
// closes the connection when the current request asked for that.
void FinishResponse(const HttpConnectionPtr& connection);

// Watches for the caller to close the connection while a request is being
// served. The connection is closed then, and `on_closed`, which may be empty,
// is called.
void WatchForClose(const HttpConnectionPtr& connection,
                   std::function<void()> on_closed);

// Closes the connection after the bytes sent so far have been delivered.
void CloseConnection(const HttpConnectionPtr& connection);

// Closes the connection with a TCP reset.
void ResetConnection(const HttpConnectionPtr& connection);

// Returns the path of the current request, without the query.
std::string_view RequestPath(const HttpConnection& connection);

// Returns the value of a query parameter, or "" when it is absent.
std::string QueryValue(const HttpConnection& connection, std::string_view name);

// Returns the value of a request header, or "" when it is absent.
std::string HeaderValue(const HttpConnection& connection,
                        std::string_view name);

}  // namespace poplarfork::standin
