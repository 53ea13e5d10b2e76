#pragma once

#include <string>

#include "daemon/daemon_type.h"
#include "daemon/problem_type.h"

namespace poplarfork::daemon {

// Responds to `request` with a problem and ends the request. If the claim core
// decides about the request, the problem is reported there instead and the
// claim core responds.
void RespondWithProblem(Daemon& daemon,
                        const RequestPtr& request,
                        const Problem& problem);

// Responds to `request` with a response that is complete and ends the request.
// If the claim core decides about the request, it is told about the response
// first.
void SendCompleteResponse(Daemon& daemon,
                          const RequestPtr& request,
                          edge::HttpResponse response);

// Ends `request` after its response: counts and logs the request and tells
// admission control that it is no longer in flight. `result` is the status of
// the response or the reason why the response was aborted.
void EndRequest(Daemon& daemon,
                const RequestPtr& request,
                const std::string& result);

}  // namespace poplarfork::daemon
