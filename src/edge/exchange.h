#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time_type.h"
#include "edge/http_type.h"
#include "edge/pipeline_type.h"

namespace poplarfork::edge {

class Session;

// One request of a caller and the response to it. Several exchanges of one
// connection may be in progress; their responses are written in the order of
// the requests. Calls have no effect once the exchange is over.
class Exchange {
 public:
  Exchange(std::shared_ptr<Session> session,
           ExchangeNumber number,
           base::TimePoint received_at);

  // Responds with a response whose body is completely in memory. If its
  // Connection field contains "close", the connection is closed after it.
  void Respond(HttpResponse response);

  // Starts a response whose body is sent in parts. Without a Content-Length
  // field, the body is sent with chunked transfer encoding.
  void StartStream(HttpHeader header,
                   std::function<void(bool is_written)> on_written);

  // Sends one part of the body. `data` must stay valid until `on_written` has
  // been called, with false if the part could not be written because the caller
  // is gone.
  void WritePart(std::string_view data,
                 std::function<void(bool is_written)> on_written);

  // Completes a response that was sent in parts.
  void EndStream();

  // Closes the connection at once, so that the caller detects that the response
  // is incomplete. The other exchanges of the connection end as well.
  void Abort();

  // Returns "IP:port" of the caller.
  const std::string& CallerEndpoint() const;

  // Returns when the request had been received completely. The request may have
  // waited since then for the exchanges before it.
  base::TimePoint ReceivedAt() const;

 private:
  std::shared_ptr<Session> session;
  ExchangeNumber number;
  base::TimePoint received_at;
};

}  // namespace poplarfork::edge
