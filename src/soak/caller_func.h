#pragma once

#include "soak/fleet_type.h"

namespace poplarfork::soak {

// Starts the callers, which send look-ups and orders to all gateways on
// connections that they keep, and the probes that show which configuration each
// gateway has in force.
void StartCallers(Fleet& fleet);

// Adds the orders that ran more than once to the violations.
void CheckRuns(Fleet& fleet);

}  // namespace poplarfork::soak
