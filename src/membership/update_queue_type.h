#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "base/ids_type.h"

namespace poplarfork::membership {

// Queue of the members whose state is to be gossiped. The updates themselves
// are built from the member list when they are sent.
struct UpdateQueue {
  // Number of times that the update about each member was sent.
  std::map<base::DaemonId, std::uint32_t> transmissions;
  // The same members, ordered by the number of transmissions.
  std::set<std::pair<std::uint32_t, base::DaemonId>> by_transmissions;
};

}  // namespace poplarfork::membership
