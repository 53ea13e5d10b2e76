#pragma once

#include <cstdint>
#include <string>

#include "soak/fleet_type.h"

namespace poplarfork::soak {

// Starts the callers, which send look-ups and orders to all gateways on
// connections that they keep, and the probes that show which configuration each
// gateway has in force.
void StartCallers(Fleet& fleet);

// Sends a look-up and returns its request id.
std::string SendLookUp(Fleet& fleet,
                       std::uint32_t gateway,
                       const std::string& target);

// Adds the orders that ran more than once to the violations.
void CheckRuns(Fleet& fleet);

}  // namespace poplarfork::soak
