#pragma once

#include "soak/fleet_type.h"

namespace poplarfork::soak {

// Makes the upstreams crash when they run a certain look-up, and starts to send
// it to gateways drawn at random. A crashed upstream is back after a few
// seconds, at its address and with a new id.
void StartCrashingRequests(Fleet& fleet);

// Adds a violation if too many sendings reached upstreams later than
// kExcuseTime after the third crash.
void CheckCrashes(Fleet& fleet);

}  // namespace poplarfork::soak
