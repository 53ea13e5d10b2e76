#pragma once

#include <cstdint>

#include "base/time_type.h"
#include "health/detector_type.h"
#include "replay/fault_type.h"
#include "replay/measurement_type.h"
#include "replay/recording_type.h"
#include "replay/timeline_type.h"
#include "replay/workload_type.h"

namespace poplarfork::replay {

// The simulated time at which every run starts.
constexpr base::TimePoint kSimulationStart{std::chrono::seconds(1000)};

// The inputs of one simulation run.
struct SimulationPlan {
  Workload workload;
  health::Detector detector;
  FaultKind fault = FaultKind::kNone;
  // The number of faulty upstreams, for kinds of faults that affect single
  // upstreams.
  std::uint32_t faulty_upstream_count = 2;
  Timeline timeline;
  std::uint64_t seed = 1;
};

// Returns the seed of the random numbers of one daemon in the run with the seed
// `seed`.
std::uint64_t DaemonSeed(std::uint64_t seed, std::uint32_t daemon_index);

// Runs the health code of all daemons in a discrete-event simulation with
// synthetic request outcomes, which depend on the seed and not on the detector.
// Messages take 10 ms, store calls 5 ms and probes 25 ms. If `recording` is not
// null, the events and decisions of its daemon are recorded.
Measurement RunSimulation(const SimulationPlan& plan, Recording* recording);

}  // namespace poplarfork::replay
