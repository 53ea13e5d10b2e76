#pragma once

#include <cstdint>

namespace poplarfork::standin {

// How many requests with one key were run, and how these runs ended: completed,
// cancelled by the caller, or stopped at the request's deadline (expired).
struct RunRecord {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t expired = 0;
};

}  // namespace poplarfork::standin
