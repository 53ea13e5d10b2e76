#include "health/floor_func.h"

#include <algorithm>
#include <cmath>

namespace poplarfork::health {

namespace {

// Prevents rounding errors of products such as 0.1 x 30 from increasing the
// result to 4.
constexpr double kRoundingTolerance = 1e-9;

bool IsLimitedOrRamping(const RoutingEntry& entry) {
  return entry.limited || entry.weight < 1;
}

// Returns the slots that remain in service if the limit of `entry` is enforced.
std::uint64_t RemainingSlotsWhileLimited(const RoutingEntry& entry) {
  if (entry.limited)
    return 0;
  return static_cast<std::uint64_t>(entry.slots * entry.weight);
}

struct SlotTotals {
  std::uint64_t listed = 0;
  std::uint64_t remaining = 0;
  bool all_limited = true;
};

SlotTotals SumSlots(const RoutingView& view) {
  SlotTotals totals;
  for (const RoutingEntry& entry : view.entries) {
    totals.listed += entry.slots;
    if (entry.draining)
      continue;
    totals.remaining += entry.slots;
    totals.all_limited = totals.all_limited && entry.limited;
  }
  return totals;
}

// Returns the positions of the limited and ramping upstreams, the most suspect
// first. Ramping upstreams come last, because they are already recovering.
std::vector<std::uint32_t> SortLimitedBySuspicion(const RoutingView& view) {
  std::vector<std::uint32_t> order;
  for (std::uint32_t i = 0; i < view.entries.size(); ++i) {
    const RoutingEntry& entry = view.entries[i];
    if (!entry.draining && IsLimitedOrRamping(entry))
      order.push_back(i);
  }
  std::sort(order.begin(), order.end(),
            [&view](std::uint32_t left, std::uint32_t right) {
              const RoutingEntry& a = view.entries[left];
              const RoutingEntry& b = view.entries[right];
              if (a.limited != b.limited)
                return a.limited;
              if (a.suspicion != b.suspicion)
                return a.suspicion > b.suspicion;
              return left < right;
            });
  return order;
}

// Marks the upstreams whose limit can be enforced without falling below the
// floor.
std::vector<bool> SelectEnforcedLimits(const RoutingView& view) {
  std::vector<bool> enforced(view.entries.size(), false);
  const SlotTotals totals = SumSlots(view);
  if (totals.all_limited)
    return enforced;
  const std::uint64_t floor_slots = FloorSlots(view.floor, totals.listed);
  std::uint64_t remaining = totals.remaining;
  for (const std::uint32_t i : SortLimitedBySuspicion(view)) {
    const RoutingEntry& entry = view.entries[i];
    const std::uint64_t lost_slots =
        entry.slots - RemainingSlotsWhileLimited(entry);
    if (remaining < floor_slots + lost_slots)
      continue;
    remaining -= lost_slots;
    enforced[i] = true;
  }
  return enforced;
}

}  // namespace

std::uint64_t FloorSlots(double floor, std::uint64_t listed_slots) {
  const double exact = floor * static_cast<double>(listed_slots);
  return static_cast<std::uint64_t>(std::ceil(exact - kRoundingTolerance));
}

std::vector<RoutableUpstream> RoutableUpstreams(const RoutingView& view) {
  const std::vector<bool> enforced = SelectEnforcedLimits(view);
  std::vector<RoutableUpstream> routable;
  routable.reserve(view.entries.size());
  for (std::uint32_t i = 0; i < view.entries.size(); ++i) {
    const RoutingEntry& entry = view.entries[i];
    if (entry.draining)
      continue;
    if (!enforced[i]) {
      routable.push_back({i, 1.0, false, entry.limited});
      continue;
    }
    if (entry.limited && !entry.on_trial)
      continue;
    routable.push_back({i, entry.weight, entry.on_trial, false});
  }
  return routable;
}

std::uint64_t RemainingSlots(const RoutingView& view,
                             const std::vector<RoutableUpstream>& routable) {
  std::uint64_t slots = 0;
  for (const RoutableUpstream& upstream : routable) {
    if (upstream.one_at_a_time)
      continue;
    const RoutingEntry& entry = view.entries[upstream.index];
    slots += static_cast<std::uint64_t>(entry.slots * upstream.weight);
  }
  return slots;
}

}  // namespace poplarfork::health
