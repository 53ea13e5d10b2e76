#include "peer/receive_func.h"

#include <array>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

#include "base/error_func.h"
#include "peer/envelope_func.h"
#include "peer/limits_type.h"
#include "peer/tag_func.h"

namespace poplarfork::peer {

namespace {

// A message has at most an envelope and a tag. The ROUTER socket puts the
// routing id of the connection in front of them.
constexpr std::size_t kMaxParts = 3;

struct Parts {
  std::array<zmq::message_t, kMaxParts> parts;
  std::size_t count = 0;
};

// Receives one message, of which at most `kMaxMessageParts` parts are stored
// but all are counted. Returns false if the socket holds no message.
bool ReceiveParts(zmq::socket_t& socket, Parts& message) {
  message.count = 0;
  bool has_more = true;
  while (has_more) {
    zmq::message_t part;
    if (!socket.recv(part, zmq::recv_flags::dontwait))
      return false;
    has_more = part.more();
    if (message.count < kMaxParts)
      message.parts[message.count] = std::move(part);
    ++message.count;
  }
  return true;
}

// Increments `counter` and reports a message that is dropped.
void ReportDrop(Transport& transport,
                std::uint64_t& counter,
                const base::Error& error) {
  ++counter;
  if (transport.on_drop)
    transport.on_drop(error);
}

base::Error DecodeError(base::ErrorCode code, std::string detail) {
  return base::MakeError(code, base::Step::kPeerDecode, "", std::move(detail));
}

// Returns the counter of dropped messages for an error of DecodeEnvelope().
std::uint64_t& CounterFor(Counters& counters, const base::Error& error) {
  if (error.code == base::ErrorCode::kTooLarge)
    return counters.oversized;
  if (error.code == base::ErrorCode::kUnsupported)
    return counters.unknown_kind;
  return counters.malformed;
}

void HandleEnvelope(Transport& transport,
                    std::string_view envelope,
                    std::string_view tag) {
  Counters& counters = transport.counters;
  if (!IsTagValid(transport.cluster_key, envelope, tag)) {
    ReportDrop(transport, counters.unauthenticated,
               DecodeError(base::ErrorCode::kRefused,
                           "the message tag does not match the cluster key"));
    return;
  }
  base::Result<Message> message = DecodeEnvelope(envelope);
  if (!message) {
    ReportDrop(transport, CounterFor(counters, message.error()),
               message.error());
    return;
  }
  if (message.value().sender == transport.self) {
    ReportDrop(
        transport, counters.from_self,
        DecodeError(base::ErrorCode::kRefused,
                    "the sender address is the address of this daemon itself"));
    return;
  }
  KindCounters& kind = counters.kinds[message.value().kind];
  ++kind.received_messages;
  kind.received_bytes += envelope.size() + tag.size();
  if (transport.on_message)
    transport.on_message(std::move(message.value()));
}

void HandleParts(Transport& transport, const Parts& message) {
  if (message.count < 2 || message.count > kMaxParts) {
    ReportDrop(transport, transport.counters.malformed,
               DecodeError(base::ErrorCode::kMalformed,
                           "message of " + std::to_string(message.count) +
                               " parts; expected 2 or 3"));
    return;
  }
  const std::string_view envelope = message.parts[1].to_string_view();
  const std::string_view tag =
      message.count == kMaxParts ? message.parts[2].to_string_view() : "";
  HandleEnvelope(transport, envelope, tag);
}

// Continues to receive in the next iteration of the event loop.
void ContinueLater(Transport& transport) {
  const std::weak_ptr<Transport> weak = transport.weak_from_this();
  boost::asio::post(transport.io, [weak] {
    if (const std::shared_ptr<Transport> owner = weak.lock())
      ReceiveMessages(*owner);
  });
}

}  // namespace

void ReceiveMessages(Transport& transport) {
  Parts message;
  for (int count = 0; count < kMaxMessagesPerTurn; ++count) {
    if (transport.is_closed)
      return;
    if (!ReceiveParts(transport.router->socket, message))
      return;
    HandleParts(transport, message);
  }
  // The descriptor does not signal messages that were queued before, so the
  // rest is received without waiting for a signal.
  ContinueLater(transport);
}

}  // namespace poplarfork::peer
