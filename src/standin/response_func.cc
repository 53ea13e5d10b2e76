#include "standin/response_func.h"

#include <string>

#include "base/error_func.h"

namespace poplarfork::standin {

using web::json::value;

Response MakeJsonResponse(unsigned status, const value& body) {
  Response response;
  response.status = status;
  response.body = body.serialize();
  return response;
}

Response MakeErrorResponse(unsigned status, const base::Error& error) {
  const std::string text = base::ToString(error);
  value body = value::object();
  body["error"] = value::string(text);
  body["message"] = value::string(text);
  body["code"] = value::number(status == 400 ? 3 : 13);
  return MakeJsonResponse(status, body);
}

Response MakeNotFoundResponse() {
  return MakeErrorResponse(
      404, base::MakeError(base::ErrorCode::kMissing, base::Step::kRoute, "",
                           "no such path"));
}

Response MakeCommandResponse(const base::Result<void>& result) {
  if (!result)
    return MakeErrorResponse(400, result.error());
  return MakeJsonResponse(200, value::object());
}

}  // namespace poplarfork::standin
