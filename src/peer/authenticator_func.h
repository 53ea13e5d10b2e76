#pragma once

#include "peer/transport_type.h"

namespace poplarfork::peer {

// Binds the socket on which ZeroMQ asks whether a CURVE public key may connect
// (ZeroMQ Authentication Protocol, RFC 27). Must be called before the ROUTER
// socket is bound.
void StartAuthenticator(Transport& transport);

// Replies to all pending authentication requests. A public key that the
// settings do not list is refused and counted.
void HandleAuthenticationRequests(Transport& transport);

}  // namespace poplarfork::peer
