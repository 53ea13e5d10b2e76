#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result_type.h"
#include "replay/expectation_type.h"
#include "replay/trace_type.h"

namespace poplarfork::replay {

// The results of replaying a trace.
struct ReplayReport {
  std::uint64_t events = 0;
  std::uint64_t decisions = 0;
  std::uint64_t floor_violations = 0;
  // One line for each difference from the recorded decisions or from the
  // expectation, at most 20 lines.
  std::vector<std::string> differences;
};

// Feeds the events of `trace` to the health code and compares its decisions
// with the recorded ones and with `expectation`. Fails if the trace names an
// unknown detector.
base::Result<ReplayReport> ReplayTrace(const Trace& trace,
                                       const Expectation& expectation);

// Replays the trace in the file NAME.jsonl; its expectation is read from
// NAME.yaml in the same folder.
base::Result<ReplayReport> ReplayTraceFile(const std::string& file);

}  // namespace poplarfork::replay
