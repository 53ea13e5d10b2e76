#pragma once

#include "daemon/daemon_type.h"
#include "upstream/exchange_end_type.h"

namespace poplarfork::daemon {

// Chooses an upstream and sends the request to it, or responds with a problem
// if no upstream can accept the request.
void StartAttempt(Daemon& daemon, const RequestPtr& request);

// Sends the request again if that is safe and the deadline and the retry budget
// allow it. `progress` is the progress of the previous attempt. Returns false
// if the request must not be sent again.
bool RetryIfAllowed(Daemon& daemon,
                    const RequestPtr& request,
                    upstream::Progress progress);

}  // namespace poplarfork::daemon
