#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::replay {

// The number of times that a kind of decision must occur in a trace.
struct ExpectedDecision {
  // The name of the decision, such as "avoid".
  std::string decision;
  // The name of the reason. If it is empty, decisions with any reason count.
  std::string reason;
  // The upstream's id. If it is empty, decisions on any upstream count.
  std::string upstream;
  // Decisions on these upstreams do not count.
  std::vector<std::string> excluded_upstreams;
  std::uint64_t min_count = 0;
  std::uint64_t max_count = 0;
  // Only decisions that are made less than this time after the start of the
  // trace count.
  base::Duration time_limit = base::Duration::max();
};

// The decisions that the replay of a trace must yield, and the exact number of
// events after which the remaining slots must be below the floor.
struct Expectation {
  std::string trace_file;
  std::vector<ExpectedDecision> decisions;
  std::uint64_t floor_violations = 0;
};

}  // namespace poplarfork::replay
