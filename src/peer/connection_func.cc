#include "peer/connection_func.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/error_func.h"
#include "peer/limits_type.h"
#include "peer/watch_func.h"

namespace poplarfork::peer {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

int ToMilliseconds(std::chrono::milliseconds duration) {
  return static_cast<int>(duration.count());
}

void CountSent(Transport& transport, const Frames& frames) {
  KindCounters& counters = transport.counters.by_kind[frames.kind];
  ++counters.sent_messages;
  counters.sent_bytes += frames.envelope.size() + frames.tag.size();
}

void CountDropped(Transport& transport, const Frames& frames) {
  ++transport.counters.by_kind[frames.kind].dropped_messages;
}

// Sends a message without waiting. Returns false if ZeroMQ does not take it. A
// DEALER socket accepts either all parts of a message or none, so only the
// first part can be refused.
bool TrySend(Transport& transport,
             Connection& connection,
             const Frames& frames) {
  zmq::socket_t& socket = connection.dealer->socket;
  const bool has_tag = !frames.tag.empty();
  const auto flags = has_tag
                         ? zmq::send_flags::dontwait | zmq::send_flags::sndmore
                         : zmq::send_flags::dontwait;
  if (!socket.send(zmq::buffer(frames.envelope), flags))
    return false;
  if (has_tag)
    (void)socket.send(zmq::buffer(frames.tag), zmq::send_flags::dontwait);
  CountSent(transport, frames);
  return true;
}

// Peers never send on this connection. Anything that arrives is discarded, so
// that it does not fill the receive queue.
void DiscardIncoming(zmq::socket_t& socket) {
  zmq::message_t part;
  while (socket.recv(part, zmq::recv_flags::dontwait)) {
  }
}

void SetCurveClientOptions(zmq::socket_t& socket, const CurveKeys& keys) {
  if (keys.public_key.empty())
    return;
  socket.set(zmq::sockopt::curve_serverkey, keys.public_key);
  socket.set(zmq::sockopt::curve_publickey, keys.public_key);
  socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

// Sends pending messages after the descriptor of the connection to `peer` has
// signalled a change.
void HandleConnectionEvent(Transport& transport, const base::DaemonId& peer) {
  const auto found = transport.connections.find(peer);
  if (found == transport.connections.end())
    return;
  FlushConnection(transport, *found->second);
}

}  // namespace

void SetCommonSocketOptions(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::sndhwm, kHighWaterMarkMessages);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMarkMessages);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::heartbeat_ivl, ToMilliseconds(kHeartbeatInterval));
  socket.set(zmq::sockopt::heartbeat_timeout,
             ToMilliseconds(kHeartbeatTimeout));
  socket.set(zmq::sockopt::heartbeat_ttl, ToMilliseconds(kHeartbeatTimeout));
  socket.set(zmq::sockopt::handshake_ivl, ToMilliseconds(kHandshakeTimeout));
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxFrameBytes));
}

base::Result<Connection*> OpenConnection(Transport& transport,
                                         const base::DaemonId& peer) {
  auto connection = std::make_unique<Connection>();
  connection->peer = peer;
  try {
    connection->dealer = std::make_unique<WatchedSocket>(
        transport.context, zmq::socket_type::dealer, transport.loop);
    zmq::socket_t& socket = connection->dealer->socket;
    SetCommonSocketOptions(socket);
    // Makes ZeroMQ queue messages only for completed connections. Messages in
    // the queue are then dropped when the connection breaks, instead of
    // arriving late.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, ToMilliseconds(kReconnectInterval));
    socket.set(zmq::sockopt::reconnect_ivl_max,
               ToMilliseconds(kMaxReconnectInterval));
    SetCurveClientOptions(socket, transport.curve_keys);
    socket.connect("tcp://" + peer.value);
  } catch (const zmq::error_t& error) {
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kPeerSend,
                           peer.value, error.what());
  }
  ++transport.counters.opened_connections;
  Connection* raw_connection = connection.get();
  transport.connections[peer] = std::move(connection);
  WatchSocket(transport, *raw_connection->dealer,
              [peer](Transport& owner) { HandleConnectionEvent(owner, peer); });
  return raw_connection;
}

void FlushConnection(Transport& transport, Connection& connection) {
  DiscardIncoming(connection.dealer->socket);
  const SteadyTime min_queued_at =
      std::chrono::steady_clock::now() - kMaxPendingAge;
  while (!connection.pending.empty()) {
    const PendingFrames& first = connection.pending.front();
    if (first.queued_at < min_queued_at)
      CountDropped(transport, first.frames);
    else if (!TrySend(transport, connection, first.frames))
      break;
    connection.pending.pop_front();
  }
  DiscardIncoming(connection.dealer->socket);
}

bool SendOrQueueFrames(Transport& transport,
                       Connection& connection,
                       Frames frames) {
  connection.last_used_at = std::chrono::steady_clock::now();
  FlushConnection(transport, connection);
  if (connection.pending.empty() && TrySend(transport, connection, frames)) {
    // Sending may consume the signal that messages can be received, so received
    // messages are discarded here as well.
    DiscardIncoming(connection.dealer->socket);
    return true;
  }
  if (connection.pending.size() >= kMaxPendingMessages) {
    CountDropped(transport, frames);
    return false;
  }
  connection.pending.push_back({connection.last_used_at, std::move(frames)});
  return true;
}

void RemoveConnection(Transport& transport, const base::DaemonId& peer) {
  const auto found = transport.connections.find(peer);
  if (found == transport.connections.end())
    return;
  for (const PendingFrames& pending_frames : found->second->pending)
    CountDropped(transport, pending_frames.frames);
  transport.connections.erase(found);
}

void EvictConnections(Transport& transport) {
  while (transport.connections.size() >= transport.max_connections) {
    const auto least_recently_used = std::min_element(
        transport.connections.begin(), transport.connections.end(),
        [](const auto& left, const auto& right) {
          return left.second->last_used_at < right.second->last_used_at;
        });
    const base::DaemonId peer = least_recently_used->first;
    RemoveConnection(transport, peer);
    ++transport.counters.evicted_connections;
  }
}

void CloseIdleConnections(Transport& transport, SteadyTime now) {
  std::vector<base::DaemonId> idle_peers;
  for (const auto& [peer, connection] : transport.connections) {
    if (now - connection->last_used_at > kConnectionIdleTimeout)
      idle_peers.push_back(peer);
  }
  for (const base::DaemonId& peer : idle_peers) {
    RemoveConnection(transport, peer);
    ++transport.counters.closed_idle_connections;
  }
}

}  // namespace poplarfork::peer
