#pragma once

#include "daemon/daemon_type.h"
#include "health/action_type.h"
#include "health/event_type.h"
#include "peer/message_type.h"

namespace poplarfork::daemon {

// Passes an event to the health state of a service and executes the actions
// that follow from it.
void HandleHealthEvent(Daemon& daemon,
                       ServiceRuntime& service,
                       const health::Event& event);

// Executes actions of the health state. Each action is counted, and logged
// unless it is periodic.
void ExecuteHealthActions(Daemon& daemon,
                          ServiceRuntime& service,
                          const health::Actions& actions);

// Handles the announcement of a peer that a request with a certain fingerprint
// crashes upstreams.
void OnCrashAnnouncement(Daemon& daemon, const peer::Message& message);

// Runs the periodic work of the health state of all services. `lateness` is the
// time from when this tick was due until the event loop ran it.
void TickHealth(Daemon& daemon, base::Duration lateness, base::TimePoint now);

}  // namespace poplarfork::daemon
