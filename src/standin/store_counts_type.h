#pragma once

#include <cstdint>

namespace poplarfork::standin {

// Number of calls since the start, by kind; a watch counts as one call for as
// long as it is open.
struct StoreCounts {
  std::uint64_t range = 0;
  std::uint64_t put = 0;
  std::uint64_t txn = 0;
  std::uint64_t deleterange = 0;
  std::uint64_t lease_grant = 0;
  std::uint64_t lease_keepalive = 0;
  std::uint64_t lease_revoke = 0;
  std::uint64_t watch = 0;
  // Calls that got no reply because of the fault "down". They are not counted
  // by kind.
  std::uint64_t refused = 0;
  // Writes that took effect but got no reply because of the fault "lose_reply".
  std::uint64_t lost_replies = 0;
};

}  // namespace poplarfork::standin
