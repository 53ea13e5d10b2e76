#pragma once

#include <cstdint>

#include "note/service_type.h"

namespace poplarfork::note {

// Returns the sum of the slots of all upstreams that the service lists.
std::uint64_t ListedSlots(const Service& service);

// Returns the number of slots that the floor requires: the smallest integer
// that is at least `floor` times `listed_slots`.
std::uint64_t FloorSlots(double floor, std::uint64_t listed_slots);

}  // namespace poplarfork::note
