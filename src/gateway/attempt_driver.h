#pragma once

#include <functional>

#include "gateway/gateway_type.h"
#include "request/action_type.h"
#include "request/attempt_end_type.h"

namespace poplarfork::gateway {

// Sends a request to the upstream of an attempt. When the attempt has ended,
// `on_end` is called once on the loop, unless the attempt was cancelled. A
// response that may be delivered to the caller has then been stored in
// `active_request`.
void RunAttempt(Gateway& gateway,
                ActiveRequest& active_request,
                const request::StartAttempt& start,
                std::function<void(const request::AttemptEnd&)> on_end);

// Cancels an attempt in progress and closes its connection, so that the
// upstream stops working on the request.
void CancelRunningAttempt(ActiveRequest& active_request,
                          dispatch::AttemptId attempt);

}  // namespace poplarfork::gateway
