#pragma once

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "datagram/message_type.h"

namespace poplarfork::datagram {

// Encodes a message into `bytes`. Points in time are encoded as the time left
// until them at `now`, because daemons have no common clock.
void Encode(const Message& message, base::TimePoint now, std::string& bytes);

// Decodes a datagram. Fails with kMalformed if it is not a message or contains
// an enumeration value outside its range.
base::Result<Message> Decode(std::string_view bytes, base::TimePoint now);

}  // namespace poplarfork::datagram
