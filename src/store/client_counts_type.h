#pragma once

#include <cstdint>

namespace poplarfork::store {

// Numbers of calls since the client was made. A watch counts once for each
// connection that it opens.
struct ClientCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t lease_calls = 0;
  std::uint64_t watches = 0;
  std::uint64_t watch_failures = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t failures = 0;
  std::uint64_t conflicts = 0;
  // Writes that may have been sent but got no reply.
  std::uint64_t no_replies = 0;
  // Calls that were not sent because the call budget was exhausted.
  std::uint64_t over_budget = 0;
};

}  // namespace poplarfork::store
