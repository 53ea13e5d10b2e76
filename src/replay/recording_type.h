#pragma once

#include <cstdint>
#include <vector>

#include "base/time_type.h"
#include "health/action_type.h"
#include "health/event_type.h"

namespace poplarfork::replay {

// One event and the decisions that the health code made on it.
struct RecordedStep {
  base::TimePoint handled_at{};
  health::Event event;
  health::Actions actions;
};

// The recorded events and decisions of one daemon of a simulation run.
struct Recording {
  std::uint32_t daemon_index = 0;
  std::vector<RecordedStep> steps;
};

}  // namespace poplarfork::replay
