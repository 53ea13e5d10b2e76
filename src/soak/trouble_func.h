#pragma once

#include "soak/fleet_type.h"

namespace poplarfork::soak {

// Starts to write configurations: single ones, and from time to time many in
// quick succession.
void StartConfigurationChanges(Fleet& fleet);

// Starts to disturb gateways and their connections to the store, at random
// times and overlapping each other.
void StartTroubles(Fleet& fleet);

}  // namespace poplarfork::soak
