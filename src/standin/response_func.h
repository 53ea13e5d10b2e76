#pragma once

#include <cpprest/json.h>

#include "base/result_type.h"
#include "standin/response_type.h"

namespace poplarfork::standin {

// Returns a response with `body` as JSON.
Response MakeJsonResponse(unsigned status, const web::json::value& body);

// Returns an error response {"error": ..., "code": ..., "message": ...}, as
// etcd's JSON gateway writes it.
Response MakeErrorResponse(unsigned status, const base::Error& error);

// Returns the 404 response for an unknown path.
Response MakeNotFoundResponse();

// Returns the response to a control command: 200 and {} on success, otherwise
// 400 and the error.
Response MakeCommandResponse(const base::Result<void>& result);

}  // namespace poplarfork::standin
