#pragma once

#include <cstdint>
#include <string>

#include "store/client_type.h"
#include "store/lease_result_type.h"
#include "store/read_result_type.h"
#include "store/write_result_type.h"

namespace poplarfork::store {

// Makes a client that runs on cpprestsdk's event loop. cpprestsdk runs
// continuations on its own thread pool, so a program that uses this client must
// first call crossplat::threadpool::initialize_with_threads(1) and then run
// everything on crossplat::threadpool::shared_instance().service().
//
// All functions below return at once. Each callback is called exactly once, on
// the loop, and never before the function has returned. Errors have step
// kStoreCall and the store's address as peer. Their codes are kTimeout,
// kUnavailable (no connection or no complete reply), kRefused (the store
// replied with a failure, or the call budget is exhausted) and kMalformed (the
// reply cannot be parsed).
ClientPtr MakeClient(const ClientOptions& options);

// Reads one key.
void Get(const ClientPtr& client, const std::string& key, GetCallback done);

// Reads the entries of a range in key order, at most `limit` (0 means all).
void GetRange(const ClientPtr& client,
              const KeyRange& range,
              std::uint64_t limit,
              RangeCallback done);

// Reads the keys of a range in order without their values, at most `limit` (0
// means all).
void ListKeys(const ClientPtr& client,
              const KeyRange& range,
              std::uint64_t limit,
              RangeCallback done);

// Reads the entries whose keys start with `prefix`, in key order, at most
// `limit` (0 means all).
void GetPrefix(const ClientPtr& client,
               const std::string& prefix,
               std::uint64_t limit,
               RangeCallback done);

// Writes `key` if it does not exist. A lease of 0 means that the key is
// attached to no lease. This and all other writes are sent at most once, each
// on a new connection.
void CreateIfAbsent(const ClientPtr& client,
                    const std::string& key,
                    const std::string& value,
                    LeaseId lease,
                    WriteCallback done);

// Writes `key` if it does not exist and the key `guard` exists. If only the
// guard is missing, the result is kConflict with an empty `existing`.
void CreateGuarded(const ClientPtr& client,
                   const std::string& key,
                   const std::string& value,
                   const std::string& guard,
                   WriteCallback done);

// Replaces the value of `key` if its mod_revision is still `expected`. An
// `expected` of 0 means that the key must not exist.
void CompareAndSwap(const ClientPtr& client,
                    const std::string& key,
                    StoreRevision expected,
                    const std::string& value,
                    WriteCallback done);

// Writes `key` without a condition. Use it only for hints, where the last
// writer may win.
void Put(const ClientPtr& client,
         const std::string& key,
         const std::string& value,
         WriteCallback done);

// Deletes the keys of a range.
void DeleteRange(const ClientPtr& client,
                 const KeyRange& range,
                 WriteCallback done);

// Creates a lease. The time to live is rounded up to whole seconds, the unit of
// the store.
void GrantLease(const ClientPtr& client,
                base::Duration time_to_live,
                LeaseCallback done);

// Renews a lease. If the lease no longer exists, the result's time to live is
// 0.
void KeepAlive(const ClientPtr& client, LeaseId lease, LeaseCallback done);

// Returns the range of the keys that start with `prefix`.
KeyRange PrefixRange(const std::string& prefix);

}  // namespace poplarfork::store
