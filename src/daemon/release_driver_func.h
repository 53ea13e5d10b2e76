#pragma once

#include "daemon/daemon_type.h"
#include "release/event_type.h"
#include "release/store_call_type.h"

namespace poplarfork::daemon {

// Passes an event to the release core and executes the actions that follow from
// it.
void HandleReleaseEvent(Daemon& daemon, const release::Event& event);

// Publishes the release note in an operator's request. The response is sent
// when the outcome is known.
void PublishNote(Daemon& daemon,
                 const std::shared_ptr<edge::Exchange>& caller_exchange,
                 const edge::HttpRequest& request);

}  // namespace poplarfork::daemon
