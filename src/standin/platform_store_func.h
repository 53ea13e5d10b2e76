#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "standin/platform_store_type.h"

namespace poplarfork::standin {

// Starts the stand-in of the platform's store; port 0 takes a free port.
PlatformStorePtr StartPlatformStore(
    const boost::asio::any_io_executor& loop,
    const boost::asio::ip::tcp::endpoint& endpoint);

// Writes or removes a key as an upstream or operator does.
void PutPlatformItem(PlatformStore& store,
                     const std::string& key,
                     const std::string& value,
                     std::uint64_t lease = 0);
void RemovePlatformItem(PlatformStore& store, const std::string& key);

// Changes how calls are treated. When the store goes away, watches that wait
// are cut, or never answered if it falls silent.
void SetPlatformStoreMode(PlatformStore& store, PlatformStoreMode mode);

// Drops the history and cuts the watches.
void ForgetPlatformHistory(PlatformStore& store);

// Ends a lease and removes its keys.
void EndPlatformLease(PlatformStore& store, std::uint64_t lease);

// Closes the server and the watches.
void StopPlatformStore(PlatformStore& store);

}  // namespace poplarfork::standin
