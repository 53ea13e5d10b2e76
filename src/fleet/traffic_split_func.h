#pragma once

#include "base/rng_type.h"
#include "fleet/configuration_type.h"
#include "fleet/traffic_split_type.h"

namespace poplarfork::fleet {

// Chooses the service for the next request of `route` by smooth weighted
// round-robin. Each daemon starts at a random position of the cycle, so that
// the shares match the weights over the whole fleet even if each daemon handles
// only a few requests. The load pattern that this handles is a split with a
// small share, which would receive no requests or twice its share if many
// daemons each handle a few requests.
const base::ServiceId& ChooseTarget(TrafficSplitState& state,
                                    const Route& route,
                                    base::Rng& rng);

}  // namespace poplarfork::fleet
