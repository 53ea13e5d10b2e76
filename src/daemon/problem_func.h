#pragma once

#include "base/ids_type.h"
#include "daemon/problem_type.h"
#include "edge/http_type.h"

namespace poplarfork::daemon {

// Returns the name of the outcome for the field Poplarfork-Outcome.
const char* OutcomeName(Outcome outcome);

// Returns a response with the problem as application/problem+json (RFC 9457).
edge::HttpResponse MakeProblemResponse(const Problem& problem,
                                       const base::RequestId& request_id);

}  // namespace poplarfork::daemon
