#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"

namespace poplarfork::fleet {

// A part of a service's upstreams that has a dispatcher of its own.
struct Shard {
  base::ServiceId service;
  std::uint32_t index = 0;
  // Parts of the service.
  std::uint32_t count = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Shard&, const Shard&) = default;
};

// Slots of the ready upstreams of each shard of a service.
using ShardSlots = std::vector<std::uint32_t>;

}  // namespace poplarfork::fleet
