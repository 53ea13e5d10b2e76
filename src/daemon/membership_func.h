#pragma once

#include "daemon/daemon_type.h"
#include "membership/actions_type.h"

namespace poplarfork::daemon {

// Executes the actions of the failure detector: sends its messages, logs the
// changes of members, and tells the other modules which daemons are live.
void ExecuteMembershipActions(Daemon& daemon,
                              const membership::Actions& actions);

// Returns the share of this daemon's capacity that is in use, in percent.
std::uint8_t LoadPercent(const Daemon& daemon);

}  // namespace poplarfork::daemon
