#pragma once

#include "daemon/daemon_type.h"
#include "peer/message_type.h"

namespace poplarfork::daemon {

// Passes a message of another daemon to the module that handles messages of its
// kind.
void OnPeerMessage(Daemon& daemon, const peer::Message& message);

}  // namespace poplarfork::daemon
