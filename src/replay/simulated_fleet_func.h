#pragma once

#include <cstdint>
#include <utility>

#include "base/time_type.h"
#include "health/event_type.h"
#include "replay/simulated_fleet_type.h"

namespace poplarfork::replay {

// Adds an event that occurs at a daemon at the time `due_at` to the queue.
template <class Payload>
void PushEvent(SimulatedFleet& fleet,
               base::TimePoint due_at,
               std::uint32_t daemon_index,
               Payload payload) {
  fleet.event_queue.push(
      {due_at, fleet.next_insertion_order++, daemon_index, std::move(payload)});
}

// Delivers an event to the health code of a daemon and executes the actions
// that it returns.
void DeliverEvent(SimulatedFleet& fleet,
                  std::uint32_t daemon_index,
                  const health::Event& event,
                  base::TimePoint now);

// Updates which upstreams the daemon uses. Counts the upstreams that it stopped
// using as detections or false ejections, and counts a floor violation.
void UpdateUsage(SimulatedFleet& fleet,
                 std::uint32_t daemon_index,
                 base::TimePoint now);

// Handle a read and a compare-and-swap of the ledger as the store does, and
// deliver the reply to the daemon unless a partition loses it.
void HandleStoreRead(SimulatedFleet& fleet,
                     std::uint32_t daemon_index,
                     base::TimePoint now);
void HandleStoreWrite(SimulatedFleet& fleet,
                      std::uint32_t daemon_index,
                      const health::Ledger& ledger,
                      base::TimePoint now);

}  // namespace poplarfork::replay
