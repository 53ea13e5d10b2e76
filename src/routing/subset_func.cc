#include "routing/subset_func.h"

#include <algorithm>
#include <cmath>

#include "base/hash_func.h"

namespace poplarfork::routing {

namespace {

std::uint64_t UsableConnections(const note::Upstream& upstream) {
  const double usable = kConnectionShare * upstream.max_connections;
  const auto rounded = static_cast<std::uint64_t>(std::floor(usable));
  return upstream.max_connections > 0 ? std::max<std::uint64_t>(rounded, 1) : 0;
}

// Returns the number of daemons in the group that come before `daemon` in the
// rendezvous order of the upstream.
std::uint64_t RankOf(const base::DaemonId& daemon,
                     std::span<const base::DaemonId> group,
                     const base::UpstreamId& upstream) {
  const std::uint64_t own_weight =
      base::RendezvousWeight(upstream.value, daemon.value);
  return std::ranges::count_if(group, [&](const base::DaemonId& other) {
    const std::uint64_t weight =
        base::RendezvousWeight(upstream.value, other.value);
    return weight > own_weight || (weight == own_weight && other < daemon);
  });
}

}  // namespace

std::uint32_t ConnectionQuota(const base::DaemonId& daemon,
                              std::span<const base::DaemonId> group,
                              const note::Upstream& upstream) {
  if (std::ranges::find(group, daemon) == group.end())
    return 0;
  const std::uint64_t usable = UsableConnections(upstream);
  if (usable >= group.size())
    return static_cast<std::uint32_t>(usable / group.size());
  return RankOf(daemon, group, upstream.id) < usable ? 1 : 0;
}

std::vector<SubsetEntry> ChooseSubset(const base::DaemonId& daemon,
                                      std::span<const base::DaemonId> group,
                                      const note::Service& service) {
  std::vector<SubsetEntry> subset;
  for (const auto& [id, upstream] : service.upstreams) {
    const std::uint32_t connections = ConnectionQuota(daemon, group, upstream);
    if (connections > 0)
      subset.push_back({.upstream = id, .connections = connections});
  }
  return subset;
}

}  // namespace poplarfork::routing
