#pragma once

#include "datagram/message_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Sends a message to a daemon. A message to this daemon itself is not sent, but
// handled on the loop after the current handler has returned.
void SendToDaemon(Gateway& gateway,
                  const base::DaemonId& to,
                  const datagram::Message& message);

// Handles a message from another daemon or from this daemon itself.
void OnMessage(Gateway& gateway,
               const base::DaemonId& from,
               const datagram::Message& message);

// Starts to send Hellos to the store readers at intervals. A Hello tells a
// store reader that this daemon is alive and which changes it knows; the store
// reader replies with the changes that it does not know.
void StartHellos(Gateway& gateway);

// Sends a Hello to all store readers at once, for example to tell them that
// this daemon drains.
void SendHellosToReaders(Gateway& gateway);

// Sends a Hello to one daemon. The Hello asks for records unless a list is
// being received from another store reader.
void SendHello(Gateway& gateway, const base::DaemonId& to);

// Returns whether this daemon is a store reader, which is a daemon that reads
// the store and passes the changes on to the other daemons.
bool IsReader(const Gateway& gateway, base::TimePoint now);

// Returns whether this daemon is ready for callers' requests: it has a
// configuration and a list of upstreams, and does not drain.
bool IsAccepting(const Gateway& gateway);

// Returns whether what this daemon has read from the store is out of date, so
// that other daemons should use another store reader.
bool IsStoreStale(const Gateway& gateway, base::TimePoint now);

}  // namespace poplarfork::gateway
