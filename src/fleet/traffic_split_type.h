#pragma once

#include <string>
#include <unordered_map>
#include <vector>

namespace poplarfork::fleet {

// Current credit of each target in the weighted round-robin of each route, by
// route name.
struct TrafficSplitState {
  std::unordered_map<std::string, std::vector<double>> credits;
};

}  // namespace poplarfork::fleet
