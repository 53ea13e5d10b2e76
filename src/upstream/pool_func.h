#pragma once

#include <cstdint>
#include <string>

#include "upstream/pool_type.h"

namespace poplarfork::upstream {

// Takes an idle connection that is within its idle timeout and still open, or
// returns null if there is none.
ConnectionPtr TakeIdleConnection(Pool& pool,
                                 const std::string& address,
                                 base::TimePoint now);

// Returns a connection to the pool after a complete response. If the generation
// of the address has changed since `generation`, the connection is closed
// instead. It is also closed if it becomes readable while it is idle.
void ReturnConnection(Pool& pool,
                      const std::string& address,
                      ConnectionPtr connection,
                      std::uint64_t generation,
                      base::TimePoint now);

// Closes the connections that have been idle longest until one more may be
// opened within `max_open_connections`.
void EvictIdleConnections(Pool& pool, const std::string& address);

// Closes the idle connections to `address`, and prevents those in use from
// being pooled again. Called when a connection went silent: a network device
// that lost the state of one connection has usually lost it for all of them.
void InvalidateConnections(Pool& pool, const std::string& address);

// Closes the connections that are past their idle timeout.
void CloseExpiredConnections(Pool& pool, base::TimePoint now);

// Returns the number of open connections to `address`, including idle ones.
std::uint32_t CountOpenConnections(const Pool& pool,
                                   const std::string& address);

}  // namespace poplarfork::upstream
