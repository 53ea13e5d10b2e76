#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "standin/platform_store_type.h"

namespace poplarfork::standin {

// Starts the stand-in of the platform's store; with port 0 the system chooses a
// free port.
PlatformStorePtr StartPlatformStore(
    const boost::asio::any_io_executor& loop,
    const boost::asio::ip::tcp::endpoint& endpoint);

// Adds a listener to a running store. It serves the same items; its connections
// can be disturbed apart from those of other listeners. The caller stops it.
HttpServerPtr AddPlatformStoreListener(
    const PlatformStorePtr& store,
    const boost::asio::ip::tcp::endpoint& endpoint);

// Write or remove a key, as an upstream or an operator does.
void PutPlatformItem(PlatformStore& store,
                     const std::string& key,
                     const std::string& value,
                     std::uint64_t lease_id = 0);
void RemovePlatformItem(PlatformStore& store, const std::string& key);

// Changes how the store handles calls. Unless the new mode is `kNormal`, the
// open watches end: in mode `kSilent` they get no response, in the other modes
// their connections are reset.
void SetPlatformStoreMode(PlatformStore& store, PlatformStoreMode mode);

// Ends the open watches and resets their connections.
void ResetPlatformWatches(PlatformStore& store);

// Deletes the history of changes and resets the connections of the open
// watches.
void CompactPlatformHistory(PlatformStore& store);

// Keeps a copy of the items, as a backup of the store does.
void KeepPlatformCopy(PlatformStore& store);

// Restores the copy: the items and the revision are those of the copy, so that
// revisions and lease ids are issued again; the leases and the history of
// changes are gone, and the era rises by one.
void RestorePlatformCopy(PlatformStore& store);

// Revokes a lease and removes its keys.
void RevokePlatformLease(PlatformStore& store, std::uint64_t lease_id);

// Stops the server and ends the open watches.
void StopPlatformStore(PlatformStore& store);

}  // namespace poplarfork::standin
