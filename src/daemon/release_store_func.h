#pragma once

#include "daemon/daemon_type.h"
#include "release/store_call_type.h"

namespace poplarfork::daemon {

// Starts a store call that the release core has requested. The reply is passed
// to the release core later.
void StartStoreCall(Daemon& daemon, const release::StoreCall& call);

// While the store is not reachable, reads one key from it whenever the check is
// due. Without this check, the daemon would not notice that the store is
// reachable again, because until then it responds to requests that need the
// store without calling the store. The interval grows with the number of live
// daemons, which bounds the rate of calls that the store gets when it is
// reachable again.
void CheckStoreReachability(Daemon& daemon, base::TimePoint now);

// Records whether the store has replied, for the status and the claim core, and
// logs a change.
void UpdateStoreReachability(Daemon& daemon, bool is_reachable);

}  // namespace poplarfork::daemon
