#pragma once

#include "edge/exchange.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Value of the Retry-After field while this daemon has no configuration, drains
// or may not decide on keys.
inline constexpr base::Duration kNotReadyRetryAfter =
    std::chrono::milliseconds(500);

// Rejects a request before an upstream is chosen for it. `retry_after` is only
// sent with the status 503.
void RejectRequest(Gateway& gateway,
                   edge::Exchange& caller_exchange,
                   const edge::HttpRequest& http_request,
                   boost::beast::http::status status,
                   const char* reason,
                   base::Duration retry_after = kNotReadyRetryAfter);

}  // namespace poplarfork::gateway
