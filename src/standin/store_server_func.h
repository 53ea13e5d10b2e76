#pragma once

#include "standin/store_server_type.h"

namespace poplarfork::standin {

// Starts the stand-in of the store. It serves etcd's v3 JSON gateway under
// /v3/, takes fault commands at POST /fault and returns the numbers of calls at
// GET /counts; both paths are also served under /control/. Throws
// boost::system::system_error when it cannot listen.
StoreServerPtr StartStore(const boost::asio::any_io_executor& loop,
                          const boost::asio::ip::tcp::endpoint& endpoint);

void StopStore(StoreServer& store);

}  // namespace poplarfork::standin
