#pragma once

#include <cstdint>
#include <utility>

#include "base/time_type.h"
#include "health/event_type.h"
#include "replay/fleet_type.h"

namespace poplarfork::replay {

// Adds an event that occurs at a daemon at the time `due_at` to the queue.
template <class What>
void Push(Fleet& fleet, base::TimePoint at, std::uint32_t daemon, What what) {
  fleet.items.push({at, fleet.next_sequence++, daemon, std::move(what)});
}

// Delivers an event to the health code of a daemon and executes the actions
// that it returns.
void Feed(Fleet& fleet,
          std::uint32_t daemon,
          const health::Event& event,
          base::TimePoint now);

// Updates which upstreams the daemon uses. Counts the upstreams that it stopped
// using as detections or false ejections, and counts a floor violation.
void UpdateUsage(Fleet& fleet, std::uint32_t daemon, base::TimePoint now);

// Handle a read and a compare-and-swap of the ledger as the store does, and
// deliver the reply to the daemon unless a partition loses it.
void StoreRead(Fleet& fleet, std::uint32_t daemon, base::TimePoint now);
void StoreWrite(Fleet& fleet,
                std::uint32_t daemon,
                const health::Ledger& ledger,
                base::TimePoint now);

}  // namespace poplarfork::replay
