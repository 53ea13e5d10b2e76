#pragma once

#include "daemon/daemon_type.h"
#include "upstream/exchange_handlers_type.h"

namespace poplarfork::daemon {

// Returns the exchange handlers that pass the response of the current attempt
// to the caller: small responses once they are complete, large responses in
// parts.
upstream::ExchangeHandlers MakeExchangeHandlers(Daemon& daemon,
                                                const RequestPtr& request);

}  // namespace poplarfork::daemon
