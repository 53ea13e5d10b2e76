#pragma once

#include <functional>
#include <string>

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Result of a call to the store. `status` is 0 if there was no complete
// response; the store may nevertheless have executed the call.
struct StoreResponse {
  unsigned status = 0;
  std::string body;
  std::string error;
  // The response is larger than the limit. The store answered the call.
  bool is_too_large = false;
  // Only the connection was lost; nothing is known about the store. The call
  // may be made again at once and then gets a new connection.
  bool is_connection_lost = false;
  // Era of the store that the revisions in the body belong to.
  fleet::StoreEra era;
  // The response states an era before the present one: it was sent before the
  // store was restored.
  bool is_late = false;
};

// Sends one call that reads from the store and passes the result to `on_end`.
// The store may hold the call open for `max_wait`. A failed call is not
// repeated. Records and logs when the store becomes unavailable and when it
// becomes available again.
void ReadStore(Gateway& gateway,
               edge::HttpRequest request,
               base::Duration max_wait,
               std::function<void(const StoreResponse&)> on_end);

// The same for a call that writes. It waits longer for the answer, because the
// store may still execute a call that was given up.
void WriteStore(Gateway& gateway,
                edge::HttpRequest request,
                std::function<void(const StoreResponse&)> on_end);

// Returns the delay before a failed call is tried again. It is random, so that
// the gateways do not all call the store at the same time after an outage.
base::Duration RandomStoreRetryDelay(Gateway& gateway);

// Returns the delay before a read that ended with `response` is tried again. It
// is short if only the connection was lost.
base::Duration ReadRetryDelay(Gateway& gateway, const StoreResponse& response);

}  // namespace poplarfork::gateway
