#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "base/byte_charge.h"
#include "base/time_type.h"
#include "edge/exchange.h"
#include "edge/http_type.h"

namespace poplarfork::edge {

// Data of one exchange that its session keeps until the exchange is over.
struct ExchangeState {
  // The request, until it is passed on for processing.
  HttpRequest request;
  base::TimePoint received_at{};
  unsigned http_version = 11;
  bool is_head = false;
  // The handle that the request was passed on with.
  std::weak_ptr<Exchange> handle;

  // Complete response.
  std::optional<HttpResponse> response;
  // Response whose body is sent in parts.
  std::optional<boost::beast::http::response<boost::beast::http::buffer_body>>
      streamed_response;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>>
      stream_serializer;
  // Called when the header of the streamed response has been written.
  std::function<void(bool is_written)> on_stream_started;
  bool stay_open = false;

  // Space that is reserved for the body of the request, and for its copy that
  // is sent to an upstream.
  base::ByteCharge request_charge;
  base::ByteCharge request_copy_charge;
  // The response while it waits for its turn or is being written.
  base::ByteCharge response_charge;
};

}  // namespace poplarfork::edge
