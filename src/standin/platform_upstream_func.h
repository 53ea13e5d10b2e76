#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "standin/platform_upstream_type.h"

namespace poplarfork::standin {

// Starts the stand-in of an upstream that has the instance id `id` and takes
// `service_time` for a request; with port 0 the system chooses a free port.
PlatformUpstreamPtr StartPlatformUpstream(
    const boost::asio::any_io_executor& loop,
    const boost::asio::ip::tcp::endpoint& endpoint,
    const std::string& id,
    base::Duration service_time);

// Starts the upstream again after a crash, at its address and with a new id.
void RestartPlatformUpstream(PlatformUpstream& upstream,
                             const std::string& new_id);

// Returns the entry about itself that the upstream writes to the store, as
// JSON.
std::string MakePlatformUpstreamEntry(const PlatformUpstream& upstream,
                                      const std::string& service,
                                      const std::string& state,
                                      std::uint64_t sequence);

}  // namespace poplarfork::standin
