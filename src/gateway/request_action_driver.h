#pragma once

#include "gateway/gateway_type.h"
#include "request/request_func.h"

namespace poplarfork::gateway {

// Returns the active request with this number, or null if it has ended.
ActiveRequest* FindActiveRequest(Gateway& gateway,
                                 request::RequestNumber number);

// Returns the data and callbacks through which the request logic uses the state
// of this daemon.
request::Context MakeRequestContext(Gateway& gateway,
                                    request::RequestNumber number);

// Carries out the actions that the request logic has decided on. Erases the
// request if it has ended.
void ExecuteRequestActions(Gateway& gateway,
                           request::RequestNumber number,
                           const request::Actions& actions);

// Makes the timer of the active requests fire at `timer_at` or before.
void ArmRequestTimer(Gateway& gateway, base::TimePoint timer_at);

// Logs and counts the final response to a caller. The status is 0 if the caller
// has closed its connection.
void LogResponse(Gateway& gateway,
                 const ActiveRequest& active_request,
                 unsigned status,
                 const char* outcome);

}  // namespace poplarfork::gateway
