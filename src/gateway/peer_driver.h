#pragma once

#include "datagram/message_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Sends a message to a daemon. One for this daemon itself is handled on the
// loop after the present handler.
void SendTo(Gateway& gateway,
            const base::DaemonId& to,
            const datagram::Message& message);

// Handles a message of another daemon or of this one.
void OnMessage(Gateway& gateway,
               const base::DaemonId& from,
               const datagram::Message& message);

// Starts to tell the readers of the store that this daemon lives.
void StartHellos(Gateway& gateway);

// Tells the readers at once, for example that this daemon drains.
void SendHellos(Gateway& gateway);

// Tells one reader that this daemon lives and what it knows.
void SayHello(Gateway& gateway, const base::DaemonId& to);

// Tells whether this daemon reads the store for others.
bool IsReader(const Gateway& gateway, base::TimePoint now);

// Tells whether this daemon can take callers' requests.
bool IsAccepting(const Gateway& gateway);

// Tells whether the last contact with the store is too old to serve others.
bool IsStoreStale(const Gateway& gateway, base::TimePoint now);

}  // namespace poplarfork::gateway
