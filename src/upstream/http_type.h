#pragma once

#include <boost/beast/http.hpp>
#include <string>

namespace poplarfork::upstream {

// A request of a caller. It is buffered completely before its first byte is
// sent to an upstream, so that a caller that disconnects halfway does not cause
// the upstream to execute part of a request.
using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Status line and header fields of a response of an upstream.
using HttpHeader = boost::beast::http::response_header<>;

}  // namespace poplarfork::upstream
