#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/byte_charge.h"
#include "upstream/exchange.h"

namespace poplarfork::upstream {

// The end of a call and its response, which is buffered completely.
struct BufferedResponse {
  ExchangeEnd end;
  HttpHeader header;
  std::string body;
  // Counts the body in the memory counter of the pool.
  base::ByteCharge body_charge;
  // The body exceeded `max_body_bytes`, or was the largest one when the limit
  // of all bodies was reached. It was dropped, and the connection was closed.
  bool is_too_large = false;

  bool IsComplete() const {
    return this->end.progress == Progress::kComplete && !this->is_too_large;
  }
};

// Parameters of a call, apart from its request.
struct CallOptions {
  std::string address;
  ConnectionReuse reuse = ConnectionReuse::kAllowed;
  base::Duration timeout{};
  // Time within which the header of the response must arrive after the request
  // was sent. If it does not, the connection counts as silent. Without a value,
  // only `timeout` applies.
  std::optional<base::Duration> answer_timeout;
  std::size_t max_body_bytes = 0;
};

// Sends a request and passes the complete response to `on_end`. `on_end` is
// called once on the event loop and never inside this function. The returned
// exchange can be cancelled; `on_end` is then called with `end.is_cancelled`
// set.
std::shared_ptr<Exchange> StartCall(
    boost::asio::io_context& loop,
    Pool& pool,
    const CallOptions& options,
    std::shared_ptr<const HttpRequest> request,
    std::function<void(BufferedResponse)> on_end);

}  // namespace poplarfork::upstream
