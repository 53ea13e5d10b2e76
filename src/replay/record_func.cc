#include "replay/record_func.h"

#include "health/cusum_func.h"
#include "replay/fault_func.h"
#include "replay/simulation_func.h"
#include "replay/trace_func.h"
#include "replay/workload_func.h"

namespace poplarfork::replay {

namespace {

Timeline MakeShortTimeline() {
  Timeline timeline;
  timeline.fault_start = std::chrono::seconds(10);
  timeline.fault_end = std::chrono::seconds(20);
  timeline.end = std::chrono::seconds(30);
  timeline.drain_start = std::chrono::seconds(5);
  timeline.drain_end = std::chrono::seconds(25);
  return timeline;
}

}  // namespace

bool RecordTrace(const RecordOptions& options, std::ostream& out) {
  const auto fault = ParseFaultKind(options.fault);
  SimulationPlan plan;
  plan.workload = options.workload == "kristalni"
                      ? MakeKristalniWorkload(options.requests_per_second)
                      : MakeSnorfiksWorkload(options.requests_per_second);
  if (!fault || options.daemon_index >= plan.workload.daemons.size())
    return false;
  plan.detector = health::CusumDetector();
  plan.fault = *fault;
  plan.timeline = MakeShortTimeline();
  plan.seed = options.seed;
  Recording recording;
  recording.daemon_index = options.daemon_index;
  RunSimulation(plan, &recording);
  TraceHeader header;
  header.service = plan.workload.service;
  header.self = plan.workload.daemons[options.daemon_index];
  header.detector = plan.detector.name;
  header.seed = DaemonSeed(options.seed, options.daemon_index);
  header.start = kSimulationStart;
  WriteTrace(header, recording, out);
  return true;
}

}  // namespace poplarfork::replay
