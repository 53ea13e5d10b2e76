#pragma once

#include <functional>
#include <memory>
#include <string>

#include "edge/exchange.h"
#include "edge/http_type.h"
#include "edge/rejection_type.h"

namespace poplarfork::edge {

// Callbacks through which the server passes requests and events to the daemon
// or gateway that owns it. All are called on the event loop.
struct Handlers {
  // Called when a request has been received completely and may be processed.
  // The callee must respond to it once, through the exchange.
  std::function<void(std::shared_ptr<Exchange>, HttpRequest)> on_request;
  // Returns whether a request may be processed while requests before it on the
  // same connection have no response yet. This requires that it may run twice:
  // if the connection closes before its turn, the caller sends it again. If
  // empty, no request may.
  std::function<bool(const HttpRequest&)> may_overlap;
  // Called when the response to a request in progress is no longer needed: the
  // caller has closed its connection, has not taken the response within the
  // write timeout, or gets the last response of the connection to a request
  // before this one.
  std::function<void(const std::shared_ptr<Exchange>&)> on_caller_disconnected;
  // Called when invalid input of a caller was rejected. Returns the response
  // that is sent to the caller. The response is not sent if the request was not
  // received in time.
  std::function<HttpResponse(const std::string& caller_endpoint,
                             const Rejection&)>
      on_rejected;
};

}  // namespace poplarfork::edge
