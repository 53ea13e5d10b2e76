#include "upstream/pool_func.h"

#include <algorithm>
#include <utility>

namespace poplarfork::upstream {

namespace {

bool IsExpired(const Pool& pool,
               const Connection& connection,
               base::TimePoint now) {
  return now - connection.idle_since >=
         std::min(pool.limits.idle_timeout, connection.idle_limit);
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

}  // namespace

ConnectionPtr TakeIdle(Pool& pool,
                       const std::string& address,
                       base::TimePoint now) {
  std::vector<ConnectionPtr>& idle = pool.addresses[address].idle;
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (!IsExpired(pool, *connection, now) && !IsReadable(*connection))
      return connection;
  }
  return nullptr;
}

void ReturnIdle(Pool& pool,
                const std::string& address,
                ConnectionPtr connection,
                std::uint64_t generation,
                base::TimePoint now) {
  AddressPool& entry = pool.addresses[address];
  if (entry.generation != generation)
    return;
  connection->idle_since = now;
  entry.idle.push_back(std::move(connection));
}

void MakeRoom(Pool& pool, const std::string& address) {
  AddressPool& entry = pool.addresses[address];
  while (!entry.idle.empty() &&
         entry.in_use + entry.idle.size() > entry.max_open)
    entry.idle.erase(entry.idle.begin());
}

void DistrustConnections(Pool& pool, const std::string& address) {
  AddressPool& entry = pool.addresses[address];
  entry.idle.clear();
  ++entry.generation;
}

void CloseExpired(Pool& pool, base::TimePoint now) {
  for (auto& [address, entry] : pool.addresses) {
    std::erase_if(entry.idle, [&pool, now](const ConnectionPtr& connection) {
      return IsExpired(pool, *connection, now);
    });
  }
  std::erase_if(pool.addresses, [](const auto& item) {
    return item.second.idle.empty() && item.second.in_use == 0;
  });
}

std::uint32_t OpenConnections(const Pool& pool, const std::string& address) {
  const auto found = pool.addresses.find(address);
  if (found == pool.addresses.end())
    return 0;
  return found->second.in_use +
         static_cast<std::uint32_t>(found->second.idle.size());
}

}  // namespace poplarfork::upstream
