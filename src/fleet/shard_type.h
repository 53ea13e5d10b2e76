#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"

namespace poplarfork::fleet {

// A part of a service's upstreams that has its own dispatcher.
struct Shard {
  base::ServiceId service;
  std::uint32_t index = 0;
  // Number of shards of the service.
  std::uint32_t count = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Shard&, const Shard&) = default;
};

// Number of slots of the ready upstreams in each shard of a service.
using ShardSlots = std::vector<std::uint32_t>;

}  // namespace poplarfork::fleet
