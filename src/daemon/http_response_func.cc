#include "daemon/http_response_func.h"

#include <utility>

namespace poplarfork::daemon {

namespace http = boost::beast::http;

edge::HttpResponse MakeJsonResponse(http::status status,
                                    const web::json::value& body) {
  edge::HttpResponse response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = body.serialize() + "\n";
  return response;
}

edge::HttpResponse MakeTextResponse(http::status status, std::string body) {
  edge::HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain; charset=utf-8");
  response.body() = std::move(body);
  return response;
}

}  // namespace poplarfork::daemon
