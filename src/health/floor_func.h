#pragma once

#include <cstdint>
#include <vector>

#include "health/routing_view_type.h"

namespace poplarfork::health {

// Returns the number of slots, rounded up, that `floor` (0 to 1) requires of
// `listed_slots`.
std::uint64_t FloorSlots(double floor, std::uint64_t listed_slots);

// Returns the upstreams that may receive new requests, in the order of the
// entries. Draining upstreams never do. Limited upstreams are removed, the most
// suspect first, only while the slots of the rest stay at or above the floor.
// Upstreams on trial do not count as remaining capacity, and ramping upstreams
// count in proportion to their weight. If every upstream that is not draining
// is limited, all of them are returned.
std::vector<RoutableUpstream> RoutableUpstreams(const RoutingView& view);

// Returns the number of slots that `routable` offers, scaled by weight and
// without upstreams on trial.
std::uint64_t RemainingSlots(const RoutingView& view,
                             const std::vector<RoutableUpstream>& routable);

}  // namespace poplarfork::health
