#pragma once

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "peer/message_type.h"

namespace poplarfork::peer {

// Returns the encoded envelope. Errors: `kTooLarge` if it has more than
// `kMaxMessageBytes`, `kUnsupported` if the message kind is not defined.
base::Result<std::string> EncodeEnvelope(const Message& message);

// Decodes and checks an envelope. `bytes` come from the network and may have
// any content. Errors: `kTooLarge`, `kMalformed`, and `kUnsupported` for a
// message kind that this version does not know.
base::Result<Message> DecodeEnvelope(std::string_view bytes);

}  // namespace poplarfork::peer
