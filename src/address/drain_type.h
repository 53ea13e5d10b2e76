#pragma once

#include <cstdint>
#include <vector>

#include "address/address_limits_type.h"
#include "base/time_type.h"

namespace poplarfork::address {

enum class DrainPhase : std::uint8_t {
  kServing,
  // The daemon is left out of new answers, but callers may still use answers
  // that they have cached.
  kWaitingForCaches,
  // The daemon accepts no new requests, and those in flight finish.
  kFinishing,
  kDone,
};

// What the daemon must do next in its shutdown.
enum class DrainAction : std::uint8_t {
  // Announce to the peers that this daemon is leaving.
  kAnnounceLeaving,
  // Accept no new connections or requests.
  kStopAccepting,
  // Abort the requests still in flight, because the drain limit has passed.
  kAbortRequests,
  kExit,
};

using DrainActions = std::vector<DrainAction>;

// The state of this daemon's shutdown.
struct Drain {
  DrainPhase phase = DrainPhase::kServing;
  // End of the current phase.
  base::TimePoint phase_end;
  // Time for which callers may use an answer.
  base::Duration answer_lifetime = kAnswerLifetime;
  // Maximum time for which the shutdown waits for requests in flight.
  base::Duration drain_limit = kDefaultDrainLimit;
};

}  // namespace poplarfork::address
