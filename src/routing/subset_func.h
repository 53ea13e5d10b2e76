#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/ids_type.h"
#include "note/service_type.h"
#include "routing/subset_type.h"

namespace poplarfork::routing {

// Share of an upstream's connections that the fleet uses. The rest is left for
// daemons whose views of the group differ for a while.
inline constexpr double kConnectionShare = 0.8;

// Returns the number of connections that `daemon` may hold to `upstream`, which
// may be 0. If an upstream has fewer usable connections than the group has
// daemons, each of the daemons with the highest rendezvous weights gets one.
// The sum over `group` is at most `kConnectionShare` of the upstream's maximum,
// except that an upstream with a maximum of 1 gives its connection to one
// daemon.
std::uint32_t ConnectionQuota(const base::DaemonId& daemon,
                              std::span<const base::DaemonId> group,
                              const note::Upstream& upstream);

// Returns the upstreams of `service` that `daemon` uses, in the order of the
// configuration. `group` contains the ids of the daemons in the service's
// group, including `daemon`; a daemon outside the group gets no upstreams.
std::vector<SubsetEntry> ChooseSubset(const base::DaemonId& daemon,
                                      std::span<const base::DaemonId> group,
                                      const note::Service& service);

}  // namespace poplarfork::routing
