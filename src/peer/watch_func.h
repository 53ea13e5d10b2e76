#pragma once

#include <functional>

#include "peer/transport_type.h"

namespace poplarfork::peer {

// Called when the descriptor of a socket has become readable. It must receive
// until ZeroMQ has no more messages, because the descriptor is edge-triggered:
// it signals that something has changed, not that messages are waiting.
using SocketEventHandler = std::function<void(Transport&)>;

// Calls `handler` on the event loop whenever the descriptor of `socket`
// signals, until the socket is destroyed.
void WatchSocket(Transport& transport,
                 WatchedSocket& socket,
                 SocketEventHandler handler);

}  // namespace poplarfork::peer
