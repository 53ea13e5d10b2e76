#include "peer/transport_func.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/error_func.h"
#include "peer/connection_func.h"
#include "peer/envelope_func.h"
#include "peer/limits_type.h"
#include "peer/tag_func.h"

namespace poplarfork::peer {

namespace {

base::Error MakeUnavailableError(const base::DaemonId& peer,
                                 std::string detail) {
  return base::MakeError(base::ErrorCode::kUnavailable, base::Step::kPeerSend,
                         peer.value, std::move(detail));
}

// Refills the token bucket for large messages and takes `bytes` from it.
// Returns false if it does not hold that many.
bool TryTakeLargeMessageBudget(Transport& transport, std::size_t bytes) {
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed =
      now - transport.large_message_budget_refilled_at;
  transport.large_message_budget_refilled_at = now;
  transport.large_message_budget_bytes =
      std::min(kLargeMessageBudgetBytes,
               transport.large_message_budget_bytes +
                   elapsed.count() * kLargeMessageBytesPerSecond);
  const auto needed = static_cast<double>(bytes);
  if (transport.large_message_budget_bytes < needed)
    return false;
  transport.large_message_budget_bytes -= needed;
  return true;
}

base::Result<Connection*> FindOrOpenConnection(Transport& transport,
                                               const base::DaemonId& peer) {
  const auto found = transport.connections.find(peer);
  if (found != transport.connections.end())
    return found->second.get();
  EvictConnections(transport);
  return OpenConnection(transport, peer);
}

base::Result<Frames> MakeFrames(const Transport& transport,
                                proto::MessageKind kind,
                                std::string payload) {
  Message message;
  message.sender = transport.self;
  message.incarnation = transport.incarnation;
  message.data_centre = transport.data_centre;
  message.kind = kind;
  message.payload = std::move(payload);
  base::Result<std::string> envelope = EncodeEnvelope(message);
  if (!envelope)
    return envelope.error();
  std::string tag = ComputeTag(transport.cluster_key, envelope.value());
  return Frames{kind, std::move(envelope.value()), std::move(tag)};
}

}  // namespace

base::Result<void> Send(Transport& transport,
                        const base::DaemonId& peer,
                        proto::MessageKind kind,
                        std::string payload) {
  if (transport.is_closed)
    return MakeUnavailableError(peer, "the transport is closed");
  base::Result<Frames> frames = MakeFrames(transport, kind, std::move(payload));
  if (!frames)
    return frames.error();
  const std::size_t bytes = frames.value().envelope.size();
  if (bytes > kLargeMessageThresholdBytes &&
      !TryTakeLargeMessageBudget(transport, bytes)) {
    ++transport.counters.by_kind[kind].dropped_messages;
    return MakeUnavailableError(
        peer, "the send budget for large messages is exhausted");
  }
  base::Result<Connection*> connection = FindOrOpenConnection(transport, peer);
  if (!connection)
    return connection.error();
  if (!SendOrQueueFrames(transport, *connection.value(),
                         std::move(frames.value())))
    return MakeUnavailableError(peer, "the send queue of the peer is full");
  return boost::outcome_v2::success();
}

void CloseConnection(Transport& transport, const base::DaemonId& peer) {
  RemoveConnection(transport, peer);
}

void CloseTransport(Transport& transport) {
  transport.is_closed = true;
  transport.idle_check_timer.cancel();
  transport.connections.clear();
  transport.router.reset();
  transport.authenticator.reset();
}

}  // namespace poplarfork::peer
