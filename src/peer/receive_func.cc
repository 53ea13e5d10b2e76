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
constexpr std::size_t kMaxMessageParts = 3;

struct MultipartMessage {
  std::array<zmq::message_t, kMaxMessageParts> parts;
  std::size_t part_count = 0;
};

// Receives one message, of which at most `kMaxMessageParts` parts are stored
// but all are counted. Returns false if the socket holds no message.
bool ReceiveMultipartMessage(zmq::socket_t& socket, MultipartMessage& message) {
  message.part_count = 0;
  bool has_more = true;
  while (has_more) {
    zmq::message_t part;
    if (!socket.recv(part, zmq::recv_flags::dontwait))
      return false;
    has_more = part.more();
    if (message.part_count < kMaxMessageParts)
      message.parts[message.part_count] = std::move(part);
    ++message.part_count;
  }
  return true;
}

// Increments `counter` and reports a message that is dropped.
void ReportDroppedMessage(Transport& transport,
                          std::uint64_t& counter,
                          const base::Error& error) {
  ++counter;
  if (transport.on_drop)
    transport.on_drop(error);
}

base::Error MakeDecodeError(base::ErrorCode code, std::string detail) {
  return base::MakeError(code, base::Step::kPeerDecode, "", std::move(detail));
}

// Returns the counter of dropped messages for an error of DecodeEnvelope().
std::uint64_t& GetDropCounter(Counters& counters, const base::Error& error) {
  if (error.code == base::ErrorCode::kTooLarge)
    return counters.oversized_messages;
  if (error.code == base::ErrorCode::kUnsupported)
    return counters.unknown_kind_messages;
  return counters.malformed_messages;
}

void HandleEnvelope(Transport& transport,
                    std::string_view envelope,
                    std::string_view tag) {
  Counters& counters = transport.counters;
  if (!IsTagValid(transport.cluster_key, envelope, tag)) {
    ReportDroppedMessage(
        transport, counters.unauthenticated_messages,
        MakeDecodeError(base::ErrorCode::kRefused,
                        "the message tag does not match the cluster key"));
    return;
  }
  base::Result<Message> message = DecodeEnvelope(envelope);
  if (!message) {
    ReportDroppedMessage(transport, GetDropCounter(counters, message.error()),
                         message.error());
    return;
  }
  if (message.value().sender == transport.self) {
    ReportDroppedMessage(
        transport, counters.messages_from_self,
        MakeDecodeError(
            base::ErrorCode::kRefused,
            "the sender address is the address of this daemon itself"));
    return;
  }
  KindCounters& kind_counters = counters.by_kind[message.value().kind];
  ++kind_counters.received_messages;
  kind_counters.received_bytes += envelope.size() + tag.size();
  if (transport.on_message)
    transport.on_message(std::move(message.value()));
}

void HandleMultipartMessage(Transport& transport,
                            const MultipartMessage& message) {
  if (message.part_count < 2 || message.part_count > kMaxMessageParts) {
    ReportDroppedMessage(
        transport, transport.counters.malformed_messages,
        MakeDecodeError(base::ErrorCode::kMalformed,
                        "message of " + std::to_string(message.part_count) +
                            " parts; expected 2 or 3"));
    return;
  }
  const std::string_view envelope = message.parts[1].to_string_view();
  const std::string_view tag = message.part_count == kMaxMessageParts
                                   ? message.parts[2].to_string_view()
                                   : "";
  HandleEnvelope(transport, envelope, tag);
}

// Continues to receive in the next iteration of the event loop.
void ScheduleReceive(Transport& transport) {
  const std::weak_ptr<Transport> weak_transport = transport.weak_from_this();
  boost::asio::post(transport.loop, [weak_transport] {
    if (const std::shared_ptr<Transport> locked_transport =
            weak_transport.lock())
      ReceiveMessages(*locked_transport);
  });
}

}  // namespace

void ReceiveMessages(Transport& transport) {
  MultipartMessage message;
  for (int count = 0; count < kMaxMessagesPerIteration; ++count) {
    if (transport.is_closed)
      return;
    if (!ReceiveMultipartMessage(transport.router->socket, message))
      return;
    HandleMultipartMessage(transport, message);
  }
  // The descriptor does not signal messages that were queued before, so the
  // rest is received without waiting for a signal.
  ScheduleReceive(transport);
}

}  // namespace poplarfork::peer
