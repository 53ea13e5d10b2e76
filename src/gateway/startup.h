#pragma once

#include <cstdint>

#include "base/result_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Opens the addresses of a gateway whose settings are loaded, registers it in
// the store and starts its timers. `seed` is the seed of its random number
// generator. Fails with an error of the operating system if an address cannot
// be bound.
base::Result<void> StartGateway(Gateway& gateway, std::uint64_t seed);

}  // namespace poplarfork::gateway
