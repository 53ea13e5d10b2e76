#pragma once

#include <string>

#include <envelope.pb.h>

#include "base/ids_type.h"
#include "base/result_type.h"
#include "peer/transport_type.h"

namespace poplarfork::peer {

// Sends one message to the daemon at `peer` without waiting. Success means that
// ZeroMQ took the message or that it waits for the handshake of the connection
// (at most 16 messages, for at most 2 s). It does not mean that the peer
// received it. Errors: `kTooLarge`, `kUnsupported`, `kMalformed` for an address
// to which ZeroMQ cannot connect, and `kUnavailable` if the message was dropped
// because the peer does not keep up, because the budget for large messages is
// exhausted or because the transport is closed. Messages that are dropped for
// the first two reasons are counted.
base::Result<void> Send(Transport& transport,
                        const base::DaemonId& peer,
                        proto::MessageKind kind,
                        std::string payload);

// Closes the outgoing connection to `peer`, if there is one, and drops its
// pending messages. Call it when a member is dead. Sending to that member again
// opens a new connection.
void CloseConnection(Transport& transport, const base::DaemonId& peer);

// Closes all sockets. No handler is called afterwards.
void CloseTransport(Transport& transport);

}  // namespace poplarfork::peer
