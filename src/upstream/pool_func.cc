#include "upstream/pool_func.h"

#include <algorithm>
#include <utility>

namespace poplarfork::upstream {

namespace {

bool IsExpired(const Pool& pool,
               const Connection& connection,
               base::TimePoint now) {
  return now - connection.idle_since >=
         std::min(pool.limits.idle_timeout, connection.max_idle_time);
}

// Returns whether an idle connection is readable. Such a connection was closed
// by the upstream or has received bytes that belong to no request, and cannot
// be used in either case.
bool IsReadable(Connection& connection) {
  char byte = 0;
  boost::system::error_code code;
  connection.socket.non_blocking(true, code);
  connection.socket.receive(boost::asio::buffer(&byte, 1),
                            boost::asio::socket_base::message_peek, code);
  return code != boost::asio::error::would_block;
}

// Closes a connection that became readable while it was idle. It may have been
// taken since then; whoever has taken it then handles what was received.
void CloseIfReadable(Pool& pool,
                     const std::string& address,
                     const Connection* connection) {
  const auto address_pool = pool.address_pools.find(address);
  if (address_pool == pool.address_pools.end())
    return;
  std::erase_if(address_pool->second.idle,
                [connection](const ConnectionPtr& idle) {
                  return idle.get() == connection && IsReadable(*idle);
                });
}

// Closes a connection as soon as it becomes readable while it is idle.
// Otherwise the kernel would buffer what an upstream sends without a request,
// up to megabytes for each connection.
void WatchIdleConnection(Pool& pool,
                         const std::string& address,
                         Connection& connection) {
  connection.socket.async_wait(
      boost::asio::socket_base::wait_read,
      [&pool, address, &connection](const boost::system::error_code& error) {
        if (!error)
          CloseIfReadable(pool, address, &connection);
      });
}

void StopWatching(Connection& connection) {
  boost::system::error_code ignored;
  connection.socket.cancel(ignored);
}

}  // namespace

ConnectionPtr TakeIdleConnection(Pool& pool,
                                 const std::string& address,
                                 base::TimePoint now) {
  std::vector<ConnectionPtr>& idle = pool.address_pools[address].idle;
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (!IsExpired(pool, *connection, now) && !IsReadable(*connection)) {
      StopWatching(*connection);
      return connection;
    }
  }
  return nullptr;
}

void ReturnConnection(Pool& pool,
                      const std::string& address,
                      ConnectionPtr connection,
                      std::uint64_t generation,
                      base::TimePoint now) {
  AddressPool& address_pool = pool.address_pools[address];
  if (address_pool.generation != generation)
    return;
  connection->idle_since = now;
  address_pool.idle.push_back(std::move(connection));
  WatchIdleConnection(pool, address, *address_pool.idle.back());
}

void EvictIdleConnections(Pool& pool, const std::string& address) {
  AddressPool& address_pool = pool.address_pools[address];
  while (!address_pool.idle.empty() &&
         address_pool.in_use + address_pool.idle.size() >
             address_pool.max_open_connections)
    address_pool.idle.erase(address_pool.idle.begin());
}

void InvalidateConnections(Pool& pool, const std::string& address) {
  AddressPool& address_pool = pool.address_pools[address];
  address_pool.idle.clear();
  ++address_pool.generation;
}

void CloseExpiredConnections(Pool& pool, base::TimePoint now) {
  for (auto& [address, address_pool] : pool.address_pools) {
    std::erase_if(address_pool.idle,
                  [&pool, now](const ConnectionPtr& connection) {
                    return IsExpired(pool, *connection, now);
                  });
  }
  std::erase_if(pool.address_pools, [](const auto& item) {
    return item.second.idle.empty() && item.second.in_use == 0;
  });
}

std::uint32_t CountOpenConnections(const Pool& pool,
                                   const std::string& address) {
  const auto found = pool.address_pools.find(address);
  if (found == pool.address_pools.end())
    return 0;
  return found->second.in_use +
         static_cast<std::uint32_t>(found->second.idle.size());
}

}  // namespace poplarfork::upstream
