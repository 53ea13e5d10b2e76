#pragma once

#include "standin/upstream_server_type.h"

namespace poplarfork::standin {

// Starts the stand-in of an upstream, with its control paths under /control/.
// Throws boost::system::system_error when it cannot listen.
UpstreamServerPtr StartUpstream(const boost::asio::any_io_executor& loop,
                                const boost::asio::ip::tcp::endpoint& endpoint,
                                const UpstreamOptions& options);

void StopUpstream(UpstreamServer& upstream);

}  // namespace poplarfork::standin
