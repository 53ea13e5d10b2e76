#pragma once

#include <cpprest/json.h>

#include <boost/beast/http/status.hpp>
#include <string>

#include "edge/http_type.h"

namespace poplarfork::daemon {

// Returns a response with `body` as JSON.
edge::HttpResponse MakeJsonResponse(boost::beast::http::status status,
                                    const web::json::value& body);

// Returns a response with `body` as plain text.
edge::HttpResponse MakeTextResponse(boost::beast::http::status status,
                                    std::string body);

}  // namespace poplarfork::daemon
