#pragma once

#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

#include "edge/http_type.h"
#include "edge/rejection_type.h"

namespace poplarfork::edge {

// Rejects request headers whose framing two HTTP implementations may interpret
// differently (request smuggling, RFC 9112 section 6.3), headers without
// exactly one Host field, and methods that are not supported.
std::optional<Rejection> CheckFraming(
    const boost::beast::http::request_header<>& header);

// Returns the rejection for a parse error, or nothing for an error after which
// the connection is closed without a response.
std::optional<Rejection> FindRejection(const boost::system::error_code& error);

}  // namespace poplarfork::edge
