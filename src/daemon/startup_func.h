#pragma once

#include <memory>

#include "base/result_type.h"
#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Opens the daemon's sockets and starts its periodic work on `loop`, which must
// be run by a single thread. Errors name the address that could not be opened.
base::Result<std::unique_ptr<Daemon>> StartDaemon(
    boost::asio::io_context& loop,
    const settings::Settings& settings);

}  // namespace poplarfork::daemon
