#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "health/event_type.h"
#include "note/service_type.h"

namespace poplarfork::replay {

// The first line of a trace, from which the daemon's health state is built.
struct TraceHeader {
  note::Service service;
  health::GroupMember self;
  // The name of the detector, for example "cusum".
  std::string detector;
  // The seed of the daemon's random numbers.
  std::uint64_t seed = 0;
  base::TimePoint start{};
};

// One recorded event and the decisions made on it, each as the text that
// `FormatDecision` returns.
struct TraceStep {
  base::TimePoint handled_at{};
  health::Event event;
  std::vector<std::string> decisions;
};

// A recorded run of one daemon's health code for one service.
struct Trace {
  TraceHeader header;
  std::vector<TraceStep> steps;
};

}  // namespace poplarfork::replay
