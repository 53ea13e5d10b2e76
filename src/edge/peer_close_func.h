#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace poplarfork::edge {

// Returns whether the other end has closed the connection, or its sending
// direction, even if received bytes have not been read yet.
bool HasPeerClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace poplarfork::edge
