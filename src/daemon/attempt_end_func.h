#pragma once

#include "daemon/daemon_type.h"
#include "upstream/exchange_end_type.h"

namespace poplarfork::daemon {

// Classifies how the current attempt ended and reports it to the health state.
// Then responds to the caller, retries the request or resumes an interrupted
// download.
void OnAttemptEnd(Daemon& daemon,
                  const RequestPtr& request,
                  const upstream::ExchangeEnd& end);

}  // namespace poplarfork::daemon
