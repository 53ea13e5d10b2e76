#pragma once

#include <boost/beast/http.hpp>

namespace poplarfork::edge {

// A request of a caller with its complete body.
using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// A response with its complete body in memory.
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Status line and header fields of a response whose body is sent in parts.
using HttpHeader = boost::beast::http::response_header<>;

}  // namespace poplarfork::edge
