#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::edge {

// Limits on the memory, connections and time that a single caller and all
// callers together may use.
struct Limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1024 * 1024;
  // Limit of the request bodies that are buffered for all callers together.
  std::uint64_t max_buffered_bytes = 32 * 1024 * 1024;
  std::size_t max_connections = 8000;
  base::Duration header_timeout = std::chrono::seconds(10);
  base::Duration idle_timeout = std::chrono::seconds(60);
  base::Duration write_timeout = std::chrono::seconds(60);
};

}  // namespace poplarfork::edge
