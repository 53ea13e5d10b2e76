#pragma once

#include <cstddef>
#include <cstdint>

#include "base/memory_budget_type.h"
#include "base/time_type.h"

namespace poplarfork::edge {

// Limits on the memory, connections and time that a single caller and all
// callers together may use.
struct Limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1024 * 1024;
  // Limit of the request bodies that are buffered for all callers together.
  std::uint64_t max_buffered_bytes = 32 * 1024 * 1024;
  // Limits of the bytes that the process buffers for callers and upstreams
  // together.
  base::MemoryBudget memory_budget;
  std::size_t max_connections = 8000;
  // Limit of the requests of one connection that are in progress at the same
  // time. With 1, a request is read after the response before it was written.
  std::size_t pipeline_limit = 1;
  // No further request of a connection is read while its requests in progress,
  // and the responses that wait for their turn, have more bytes than this.
  std::uint64_t max_pipelined_bytes = 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(10);
  base::Duration idle_timeout = std::chrono::seconds(60);
  base::Duration write_timeout = std::chrono::seconds(60);
};

}  // namespace poplarfork::edge
