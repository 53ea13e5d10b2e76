#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "bench/load_options_type.h"
#include "bench/response_check_func.h"

namespace poplarfork::bench {

// The result of one request.
struct RequestResult {
  // The status is 0 if there was no complete response.
  unsigned http_status = 0;
  bool timed_out = false;
  ResponseFault fault = ResponseFault::kNone;
  std::uint64_t response_bytes = 0;
};

using ResultCallback = std::function<void(const RequestResult&)>;

// A client connection that sends one request at a time and reconnects when
// the target closes it.
struct LoadConnection {
  LoadConnection(boost::asio::io_context& loop, const LoadOptions& load_options)
      : options(load_options), socket(loop), timer(loop) {}

  const LoadOptions& options;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  boost::beast::http::request<boost::beast::http::string_body> request;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
  std::string chunk;
  ResponseCheck check;
  ResultCallback on_done;
  bool is_busy = false;
  bool timed_out = false;
};

using LoadConnectionPtr = std::shared_ptr<LoadConnection>;

}  // namespace poplarfork::bench
