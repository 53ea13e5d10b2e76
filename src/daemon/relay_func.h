#pragma once

#include <optional>

#include "claim/action_type.h"
#include "claim/event_type.h"
#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Relays a claimed request to the only daemon that may run it.
void StartRelay(Daemon& daemon,
                const RequestPtr& request,
                const claim::RelayToDaemon& action);

// Returns the content of the relay fields of the request; empty if the request
// comes directly from a caller. The fields are accepted only with a
// tag made with the cluster key, because a caller could send such fields too.
std::optional<claim::RelayInfo> ParseRelayInfo(
    const Daemon& daemon,
    const edge::HttpRequest& request);

}  // namespace poplarfork::daemon
