#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace poplarfork::replay {

// The options of the simulation run that is recorded.
struct RecordOptions {
  // The workload: "snorfiks" or "kristalni".
  std::string workload = "snorfiks";
  // The name of the fault.
  std::string fault = "hang";
  // The index of the recorded daemon in the workload.
  std::uint32_t daemon_index = 0;
  std::uint64_t seed = 1;
  // The requests per second that the whole fleet gets.
  double requests_per_second = 400;
};

// Runs a simulation of 30 s with the CUSUM detector and a fault from 10 s to
// 20 s, and writes the trace of one daemon. Returns false if the fault or the
// daemon does not exist.
bool RecordTrace(const RecordOptions& options, std::ostream& out);

}  // namespace poplarfork::replay
