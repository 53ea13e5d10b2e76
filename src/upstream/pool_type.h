#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/byte_counter_type.h"
#include "base/memory_budget_type.h"
#include "base/time_type.h"
#include "upstream/connection_type.h"

namespace poplarfork::upstream {

// Limit for an address until this daemon's share of the connections that the
// upstream accepts is known.
inline constexpr std::uint32_t kDefaultMaxOpenConnections = 64;

// The connections to the address of one upstream.
struct AddressPool {
  // The most recently used connection is at the back and is reused first, so
  // that connections that are not needed reach their idle timeout.
  std::vector<ConnectionPtr> idle;
  // Number of connections in use, including those being opened.
  std::uint32_t in_use = 0;
  // Limit of open connections, including idle ones. Requests that always open a
  // new connection would otherwise leave more idle connections than the
  // upstream accepts.
  std::uint32_t max_open_connections = kDefaultMaxOpenConnections;
  // Incremented by InvalidateConnections(). A connection that was in use at
  // that time is not pooled again.
  std::uint64_t generation = 0;
};

// Timeouts of the connections in a pool.
struct PoolLimits {
  base::Duration connect_timeout = std::chrono::seconds(1);
  // Longest time for which the kernel of the other end may leave sent bytes
  // unacknowledged. The time until a response is limited by the deadline of its
  // call only, because an upstream that works for long sends nothing either.
  base::Duration silence_timeout = std::chrono::seconds(3);
  base::Duration idle_timeout = std::chrono::seconds(30);
  // Upper limit of the response bodies that are buffered at the same time. If
  // another part exceeds it, the largest body is given up. The smallest VMs
  // have 160 MB.
  std::size_t max_buffered_bytes = 64UL * 1024 * 1024;
  // Limits of the bytes that the process buffers for callers and upstreams
  // together.
  base::MemoryBudget memory_budget;
};

// A call whose response is being buffered; defined in whole_call.cc.
struct BufferedCall;

// The connections to all upstreams, by address ("IP:port").
struct Pool {
  PoolLimits limits;
  std::map<std::string, AddressPool, std::less<>> address_pools;
  // Size of the response bodies that are being buffered.
  std::size_t buffered_bytes = 0;
  // The calls to which these bodies belong.
  std::map<const BufferedCall*, std::weak_ptr<BufferedCall>> buffered_calls;
  // Counts what the process buffers for callers and upstreams together; may be
  // null.
  std::shared_ptr<base::ByteCounter> memory;
};

}  // namespace poplarfork::upstream
