#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace poplarfork::replay {

// The options of an experiment.
struct ExperimentOptions {
  // The workload: "snorfiks", "kristalni" or "all".
  std::string workload = "all";
  // The name of a fault, or "all".
  std::string fault = "all";
  // The number of simulation runs per fault; run i uses the seed `seed` + i.
  std::uint32_t repeats = 5;
  std::uint64_t seed = 1;
  // The requests per second that the whole fleet gets.
  double requests_per_second = 1000;
};

// Simulates the fleet with the CUSUM detector and with both baselines on the
// same request outcomes. Prints one line for each fault and detector, then
// whether each target is met. Returns false if a target is missed.
bool RunExperiment(const ExperimentOptions& options, std::ostream& out);

}  // namespace poplarfork::replay
