#include "note/floor_func.h"

#include <cmath>

namespace poplarfork::note {

std::uint64_t ListedSlots(const Service& service) {
  std::uint64_t slots = 0;
  for (const auto& [id, upstream] : service.upstreams)
    slots += upstream.slots;
  return slots;
}

std::uint64_t FloorSlots(double floor, std::uint64_t listed_slots) {
  // In binary floating point, 0.07 * 100 is 7.000000000000001. The tolerance
  // keeps ceil() from returning 8.
  constexpr double kTolerance = 1e-9;
  const double floor_slots = floor * static_cast<double>(listed_slots);
  return static_cast<std::uint64_t>(std::ceil(floor_slots - kTolerance));
}

}  // namespace poplarfork::note
