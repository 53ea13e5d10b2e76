#include "peer/envelope_func.h"

#include <utility>

#include "base/error_func.h"
#include "peer/limits_type.h"

namespace poplarfork::peer {

namespace {

// The longest valid address, "[IPv6]:port", has 47 characters.
constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kMaxDataCentreBytes = 64;

base::Error MakeDecodeError(base::ErrorCode code,
                            const std::string& sender,
                            std::string detail) {
  return base::MakeError(code, base::Step::kPeerDecode, sender,
                         std::move(detail));
}

bool IsKnownKind(int kind) {
  return kind != proto::MESSAGE_KIND_UNSPECIFIED &&
         proto::MessageKind_IsValid(kind);
}

// Checks only that the text has the form of an address with a port. It does not
// parse the address.
bool MatchesAddressFormat(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return address.size() <= kMaxAddressBytes && colon != std::string::npos &&
         colon > 0 && colon + 1 < address.size();
}

}  // namespace

base::Result<std::string> EncodeEnvelope(const Message& message) {
  if (!IsKnownKind(message.kind)) {
    return base::MakeError(
        base::ErrorCode::kUnsupported, base::Step::kPeerSend, "",
        "message kind " + std::to_string(message.kind) + " is not defined");
  }
  proto::Envelope envelope;
  envelope.set_sender(message.sender.value);
  envelope.set_incarnation(message.incarnation.value);
  envelope.set_data_centre(message.data_centre.value);
  envelope.set_kind(message.kind);
  envelope.set_payload(message.payload);
  std::string bytes = envelope.SerializeAsString();
  if (bytes.size() > kMaxMessageBytes) {
    return base::MakeError(
        base::ErrorCode::kTooLarge, base::Step::kPeerSend, "",
        "envelope of " + std::to_string(bytes.size()) +
            " bytes exceeds the limit of " + std::to_string(kMaxMessageBytes));
  }
  return bytes;
}

base::Result<Message> DecodeEnvelope(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return MakeDecodeError(base::ErrorCode::kTooLarge, "",
                           "envelope of " + std::to_string(bytes.size()) +
                               " bytes exceeds the limit of " +
                               std::to_string(kMaxMessageBytes));
  }
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return MakeDecodeError(base::ErrorCode::kMalformed, "",
                           "the message is not a valid envelope");
  if (!MatchesAddressFormat(envelope.sender())) {
    return MakeDecodeError(base::ErrorCode::kMalformed, "",
                           "the sender is not an address of the form IP:port");
  }
  if (envelope.data_centre().size() > kMaxDataCentreBytes) {
    return MakeDecodeError(base::ErrorCode::kMalformed, envelope.sender(),
                           "the data centre name is longer than 64 bytes");
  }
  if (!IsKnownKind(envelope.kind())) {
    return MakeDecodeError(
        base::ErrorCode::kUnsupported, envelope.sender(),
        "message kind " + std::to_string(envelope.kind()) + " is unknown");
  }
  Message message;
  message.sender.value = std::move(*envelope.mutable_sender());
  message.incarnation.value = envelope.incarnation();
  message.data_centre.value = std::move(*envelope.mutable_data_centre());
  message.kind = envelope.kind();
  message.payload = std::move(*envelope.mutable_payload());
  return message;
}

}  // namespace poplarfork::peer
