#pragma once

#include <functional>
#include <memory>
#include <string>

#include "edge/http_type.h"
#include "edge/rejection_type.h"

namespace poplarfork::edge {

class Session;

// Callbacks through which the server passes requests and events to the daemon
// or gateway that owns it. All are called on the event loop.
struct Handlers {
  // Called when a request has been received completely. The callee must respond
  // to it once, through the session.
  std::function<void(std::shared_ptr<Session>, HttpRequest)> on_request;
  // Called when the caller of the request in progress has closed its
  // connection, or has not taken its response within the write timeout.
  std::function<void(const std::shared_ptr<Session>&)> on_caller_disconnected;
  // Called when invalid input of a caller was rejected. Returns the response
  // that is sent to the caller. The response is not sent if the request was not
  // received in time.
  std::function<HttpResponse(const std::string& caller_endpoint,
                             const Rejection&)>
      on_rejected;
};

}  // namespace poplarfork::edge
