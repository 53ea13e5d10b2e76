#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

#include "base/time_type.h"

namespace poplarfork::upstream {

// A TCP connection to an upstream.
struct Connection {
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  // Number of requests served on this connection so far.
  unsigned served_requests = 0;
  base::TimePoint idle_since{};
  // Longest time for which the connection may be idle before it is reused.
  // Derived from the idle timeout in the Keep-Alive field of the upstream,
  // after which it may close the connection; unlimited if there was no such
  // field.
  base::Duration max_idle_time = base::Duration::max();
};

using ConnectionPtr = std::unique_ptr<Connection>;

}  // namespace poplarfork::upstream
