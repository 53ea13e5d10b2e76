#pragma once

#include <cstdint>

namespace poplarfork::base {

// Limits of the bytes that a process buffers for callers and upstreams. Without
// a limit, all are 0.
struct MemoryBudget {
  // New requests are refused if the buffered bytes would exceed this.
  std::uint64_t request_bytes = 0;
  // Responses of upstreams are not buffered beyond this.
  std::uint64_t total_bytes = 0;
};

}  // namespace poplarfork::base
