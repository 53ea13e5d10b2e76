#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "base/error_func.h"
#include "replay/benchmark_func.h"
#include "replay/experiment_func.h"
#include "replay/record_func.h"
#include "replay/replay_func.h"

ABSL_FLAG(std::string, workload, "all", "snorfiks, kristalni or all");
ABSL_FLAG(std::string, fault, "all", "name of a fault, or all");
ABSL_FLAG(std::uint32_t, repeats, 5, "experiment: simulation runs per fault");
ABSL_FLAG(std::uint32_t, daemon, 0, "record: index of the recorded daemon");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first simulation run");
ABSL_FLAG(double, rate, 1000, "requests per second to the whole fleet");

namespace poplarfork::replay {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsageError = 2;

int RunExperimentCommand() {
  ExperimentOptions options;
  options.workload = absl::GetFlag(FLAGS_workload);
  options.fault = absl::GetFlag(FLAGS_fault);
  options.repeats = absl::GetFlag(FLAGS_repeats);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.requests_per_second = absl::GetFlag(FLAGS_rate);
  return RunExperiment(options, std::cout) ? 0 : kExitFailure;
}

int RunRecordCommand() {
  RecordOptions options;
  options.workload = absl::GetFlag(FLAGS_workload);
  options.fault = absl::GetFlag(FLAGS_fault);
  options.daemon_index = absl::GetFlag(FLAGS_daemon);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.requests_per_second = absl::GetFlag(FLAGS_rate);
  if (RecordTrace(options, std::cout))
    return 0;
  std::cerr
      << "the fault given by --fault or the daemon given by --daemon does "
         "not exist\n";
  return kExitUsageError;
}

int RunReplayCommand(const std::string& file) {
  const base::Result<ReplayReport> result = ReplayTraceFile(file);
  if (!result.has_value()) {
    std::cerr << base::ToString(result.error()) << "\n";
    return kExitFailure;
  }
  const ReplayReport& report = result.value();
  std::cout << file << ": " << report.events << " events, " << report.decisions
            << " decisions, " << report.floor_violations
            << " floor violations, " << report.differences.size()
            << " differences\n";
  for (const std::string& difference : report.differences)
    std::cout << "  " << difference << "\n";
  return report.differences.empty() ? 0 : kExitFailure;
}

int RunCommand(const std::vector<char*>& arguments) {
  const std::string command = arguments.size() > 1 ? arguments[1] : "";
  if (command == "experiment")
    return RunExperimentCommand();
  if (command == "record")
    return RunRecordCommand();
  if (command == "replay" && arguments.size() > 2)
    return RunReplayCommand(arguments[2]);
  if (command == "benchmark") {
    RunBenchmark(std::cout);
    return 0;
  }
  std::cerr << absl::ProgramUsageMessage() << "\n";
  return kExitUsageError;
}

}  // namespace

}  // namespace poplarfork::replay

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "poplarfork-replay experiment | replay FILE | record | benchmark "
      "[flags]");
  return poplarfork::replay::RunCommand(absl::ParseCommandLine(argc, argv));
}
