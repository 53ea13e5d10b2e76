#pragma once

#include "edge/http_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Responds to a request on the control address that asks where a caller's
// request would be sent now, and why. Nothing is forwarded and no state
// changes. The parameters of the query are
// - `method`, `path` and optionally `host` of the caller's request,
// - `account`, the name of the client account, if there is one,
// - `from`, the id of the gateway that receives the caller's request; this
//   gateway if it is absent,
// - `service` and `shard` ("INDEX/COUNT"), to ask about one shard only.
// The status is 400 if a parameter is missing or invalid, with the reason in
// the body, and otherwise 200, also if the caller's request would be refused.
edge::HttpResponse HandleWhereRequest(const Gateway& gateway,
                                      const edge::HttpRequest& request);

}  // namespace poplarfork::gateway
