#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "standin/http_connection_type.h"

namespace poplarfork::standin {

// Called on the loop with the connection of each complete request. The handler
// responds through the functions in http_server_func.h, at once or later.
using RequestHandler = std::function<void(const HttpConnectionPtr&)>;

struct HttpServerOptions {
  boost::asio::ip::tcp::endpoint endpoint;
  // When this many connections are open, further ones are reset as soon as they
  // are accepted; 0 means no limit.
  std::size_t max_connections = 0;
  // Bytes of a request's body that are stored; the rest is only read and
  // counted.
  std::size_t max_buffered_body_bytes = 64 * 1024;
};

// An HTTP/1.1 server on one address. Its members may be used on the thread of
// the loop only.
struct HttpServer {
  explicit HttpServer(const boost::asio::any_io_executor& loop)
      : executor(loop), acceptor(loop) {}

  boost::asio::any_io_executor executor;
  boost::asio::ip::tcp::acceptor acceptor;
  HttpServerOptions options;
  RequestHandler handler;
  std::map<std::uint64_t, HttpConnectionPtr> connections;
  std::vector<HttpConnectionPtr> silent_connections;
  // Accepted connections since the start, and those of them that were reset
  // because of `max_connections`.
  std::uint64_t accepted_connections = 0;
  std::uint64_t rejected_connections = 0;
};

using HttpServerPtr = std::shared_ptr<HttpServer>;

}  // namespace poplarfork::standin
