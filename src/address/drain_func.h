#pragma once

#include <cstddef>

#include "address/drain_type.h"
#include "base/time_type.h"

namespace poplarfork::address {

// Starts the shutdown, on the first SIGTERM or when the VM list marks this VM.
// Has no effect while a shutdown is in progress.
DrainActions StartDrain(Drain& drain, base::TimePoint now);

// Handles a SIGTERM: starts the shutdown, or ends the process at once if a
// shutdown is already in progress.
DrainActions HandleSigterm(Drain& drain, base::TimePoint now);

// Advances the shutdown when the answers that callers have cached have expired,
// and when no request is in flight or the drain limit has passed. The daemon
// calls it about every 100 ms.
DrainActions AdvanceDrain(Drain& drain,
                          std::size_t requests_in_flight,
                          base::TimePoint now);

// Returns whether this daemon accepts new requests.
bool IsAccepting(const Drain& drain);

}  // namespace poplarfork::address
