#pragma once

#include <boost/beast/http/status.hpp>
#include <string>

namespace poplarfork::edge {

// The reason why input of a caller was rejected before it became a request.
struct Rejection {
  boost::beast::http::status status;
  // Short name of the reason for logs, metrics and the body of the response
  // (problem details).
  std::string reason;
};

}  // namespace poplarfork::edge
