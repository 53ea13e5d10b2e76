#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace poplarfork::standin {

struct HttpServer;

// Request line and headers of a request. The body is stored separately, in
// `HttpConnection::body`.
using RequestHead = boost::beast::http::request<boost::beast::http::empty_body>;

using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

// An accepted connection, which serves one request at a time. It is owned by
// the server: by `connections`, or by `silent_connections` after it has been
// turned silent.
struct HttpConnection {
  explicit HttpConnection(boost::asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)) {}

  std::uint64_t id = 0;
  std::shared_ptr<HttpServer> server;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::optional<RequestParser> parser;
  // Buffer for the part of the body that is being read.
  std::string body_chunk;

  // The current request: its head, the first bytes of its body up to the
  // server's `max_buffered_body_bytes`, and the length of its whole body.
  RequestHead head;
  std::string body;
  std::uint64_t body_bytes = 0;

  // Called once when the connection ends before the response is sent.
  std::function<void()> on_closed;

  // A silent connection stays open, but nothing is read from it or written to
  // it any more.
  bool is_silent = false;
  bool is_closed = false;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

}  // namespace poplarfork::standin
