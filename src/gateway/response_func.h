#pragma once

#include "edge/http_type.h"
#include "request/action_type.h"

namespace poplarfork::gateway {

// Returns the name of a failure in logs, metrics and response bodies.
const char* FailureName(request::Failure failure);

// Returns the name of the reason for which a dispatcher refused a request, as
// it is written to logs and metrics.
const char* RefusalName(dispatch::RefusalReason reason);

// Builds the response that a caller gets if the gateway has no response of an
// upstream to deliver. Its status is 503, with a Retry-After field, only if the
// request has not run.
edge::HttpResponse MakeFailureResponse(
    const request::RespondWithFailure& failure);

// Builds a response with the given status and a JSON body that contains
// `reason`. With the status 401 it names the authentication scheme, as RFC 9110
// requires.
edge::HttpResponse MakeProblemResponse(boost::beast::http::status status,
                                       const char* reason);

}  // namespace poplarfork::gateway
