#pragma once

#include <string>

#include "store/client_type.h"
#include "store/watch_type.h"

namespace poplarfork::store {

// Watches the keys that start with `prefix` for changes from `from_revision`
// on. After a failure, the watch reconnects with a random delay. It opens a new
// connection every `watch_renewal`, and delivers each change exactly once. It
// runs until `StopWatch`, even if the returned pointer is dropped.
WatchPtr StartWatch(const ClientPtr& client,
                    const std::string& prefix,
                    StoreRevision from_revision,
                    WatchCallback on_change);

// Ends the watch. Its callback is not called again.
void StopWatch(const WatchPtr& watch);

}  // namespace poplarfork::store
