#pragma once

#include <chrono>
#include <memory>

#include "base/result_type.h"
#include "peer/transport_type.h"

namespace poplarfork::peer {

// Sets the options that all sockets of the transport share: high-water marks,
// linger, heartbeats, handshake timeout and maximum frame size.
void SetCommonSocketOptions(zmq::socket_t& socket);

// Opens a connection to `peer` and watches its socket. Returns the error
// `kMalformed` if `peer` is not an address to which ZeroMQ can connect.
base::Result<Connection*> OpenConnection(Transport& transport,
                                         const base::DaemonId& peer);

// Sends pending messages until ZeroMQ takes no more, and drops those that are
// older than `kMaxPendingAge`.
void FlushConnection(Transport& transport, Connection& connection);

// Sends the message, or keeps it until the handshake has completed. Returns
// false if the message was dropped.
bool SendOrQueueFrames(Transport& transport,
                       Connection& connection,
                       Frames frames);

// Closes and removes the connection to `peer`, if there is one. Its pending
// messages are dropped and counted.
void RemoveConnection(Transport& transport, const base::DaemonId& peer);

// Closes the least recently used connections until one more connection stays
// within `max_connections`.
void EvictConnections(Transport& transport);

// Closes the connections on which no message was sent for
// `kConnectionIdleTimeout`.
void CloseIdleConnections(Transport& transport,
                          std::chrono::steady_clock::time_point now);

}  // namespace poplarfork::peer
