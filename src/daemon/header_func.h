#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>

namespace poplarfork::daemon {

// Removes the hop-by-hop fields, which concern only one connection (RFC 9110
// section 7.6.1), including those that the Connection field names.
void RemoveHopByHopFields(boost::beast::http::fields& fields);

// Returns the SHA-256 hash of the body in base64, as the field
// "Digest: sha-256=..." states it; empty if there is no such field.
std::string ParseDigestField(const boost::beast::http::fields& fields);

}  // namespace poplarfork::daemon
