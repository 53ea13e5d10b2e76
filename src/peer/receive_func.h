#pragma once

#include "peer/transport_type.h"

namespace poplarfork::peer {

// Receives the messages that the ROUTER socket holds, at most
// `kMaxMessagesPerIteration` in one iteration of the event loop, and passes
// decoded messages to the message handler. A message that fails a check is
// counted and dropped.
void ReceiveMessages(Transport& transport);

}  // namespace poplarfork::peer
