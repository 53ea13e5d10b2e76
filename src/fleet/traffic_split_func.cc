#include "fleet/traffic_split_func.h"

#include "base/rng_func.h"

namespace poplarfork::fleet {

const base::ServiceId& ChooseTarget(TrafficSplitState& state,
                                    const Route& route,
                                    base::Rng& rng) {
  if (route.targets.size() == 1)
    return route.targets.front().service;
  double total = 0;
  for (const RouteTarget& target : route.targets)
    total += target.weight;
  std::vector<double>& credits = state.credits[route.name];
  if (credits.size() != route.targets.size()) {
    credits.clear();
    for (std::size_t i = 0; i < route.targets.size(); ++i)
      credits.push_back(base::Uniform01(rng) * total);
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += route.targets[i].weight;
    const bool better =
        route.targets[best].weight == 0 || credits[i] > credits[best];
    if (route.targets[i].weight > 0 && better)
      best = i;
  }
  credits[best] -= total;
  return route.targets[best].service;
}

}  // namespace poplarfork::fleet
