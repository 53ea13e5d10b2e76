#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "health/baseline_func.h"
#include "health/cusum_func.h"
#include "replay/event_json_func.h"
#include "replay/expectation_func.h"
#include "replay/fault_func.h"
#include "replay/record_func.h"
#include "replay/replay_func.h"
#include "replay/simulation_func.h"
#include "replay/trace_func.h"
#include "replay/workload_func.h"

namespace poplarfork::replay {

namespace {

constexpr const char* kTraceFolder = POPLARFORK_SOURCE_DIR "/traces";

Trace LoadTrace(const char* name) {
  return ReadTrace(std::string(kTraceFolder) + "/" + name + ".jsonl").value();
}

Expectation LoadExpectation(const char* name) {
  return ReadExpectation(std::string(kTraceFolder) + "/" + name + ".yaml")
      .value();
}

// A file in the temporary folder that is removed at the end of the test.
struct TemporaryFile {
  std::string path;

  TemporaryFile(const char* name, const std::string& content)
      : path((std::filesystem::temp_directory_path() /
              (std::to_string(reinterpret_cast<std::uintptr_t>(this)) + name))
                 .string()) {
    std::ofstream(this->path) << content;
  }
  ~TemporaryFile() { std::filesystem::remove(this->path); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
};

Timeline MakeShortTimeline() {
  Timeline timeline;
  timeline.drain_start = std::chrono::seconds(10);
  timeline.fault_start = std::chrono::seconds(20);
  timeline.fault_end = std::chrono::seconds(35);
  timeline.drain_end = std::chrono::seconds(40);
  timeline.end = std::chrono::seconds(60);
  return timeline;
}

Measurement RunShortSimulation(const Workload& workload,
                               FaultKind fault,
                               const health::Detector& detector) {
  SimulationPlan plan;
  plan.workload = workload;
  plan.detector = detector;
  plan.fault = fault;
  plan.timeline = MakeShortTimeline();
  plan.seed = 11;
  return RunSimulation(plan, nullptr);
}

}  // namespace

// Guards against a change of the health code that alters the decisions on the
// recorded traces.
BOOST_AUTO_TEST_CASE(CommittedTracesReplayBitForBit) {
  std::size_t trace_count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(kTraceFolder)) {
    if (entry.path().extension() != ".jsonl")
      continue;
    ++trace_count;
    const ReplayReport report = ReplayTraceFile(entry.path().string()).value();
    BOOST_TEST(report.events > 100U);
    for (const std::string& difference : report.differences)
      BOOST_ERROR(entry.path().filename().string() << ": " << difference);
  }
  BOOST_TEST(trace_count == 5U);
}

// Guards against a comparison that accepts a trace with a changed decision or
// with changed events, here doubled latencies.
BOOST_AUTO_TEST_CASE(ChangedTraceIsDetected) {
  const char* name = "snorfiks_slow_member";
  const Expectation expectation = LoadExpectation(name);
  Trace changed = LoadTrace(name);
  for (TraceStep& step : changed.steps) {
    if (!step.decisions.empty())
      step.decisions.front() += "1";
  }
  BOOST_TEST(!ReplayTrace(changed, expectation).value().differences.empty());
  Trace delayed = LoadTrace(name);
  for (TraceStep& step : delayed.steps) {
    if (auto* finished = std::get_if<health::RequestFinished>(&step.event))
      finished->latency *= 2;
  }
  BOOST_TEST(!ReplayTrace(delayed, expectation).value().differences.empty());
}

// Guards against expected decisions and floor violations that are not checked.
BOOST_AUTO_TEST_CASE(UnmetExpectationIsReported) {
  const char* name = "snorfiks_hang_coordinator";
  Expectation expectation = LoadExpectation(name);
  expectation.decisions[0].upstream = "u01";
  expectation.floor_violations = 1;
  const ReplayReport report = ReplayTrace(LoadTrace(name), expectation).value();
  BOOST_TEST(report.differences.size() == 2U);
}

// Guards against malformed traces and expectations that are read as empty ones.
BOOST_AUTO_TEST_CASE(MalformedFilesAreRejected) {
  const TemporaryFile trace_file("bad.jsonl", "{\"format\":2}\n");
  const auto result = ReadTrace(trace_file.path);
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(result.error().peer == trace_file.path + ":1");
  BOOST_TEST(!ReadTrace("does_not_exist.jsonl").has_value());
  const TemporaryFile empty_file("empty.jsonl", "");
  BOOST_TEST(!ReadTrace(empty_file.path).has_value());
  const TemporaryFile file_with_unknown_key(
      "bad.yaml", "trace: x\nfloor_violations: 0\nsurprise: 1\n");
  BOOST_TEST(!ReadExpectation(file_with_unknown_key.path).has_value());
  const TemporaryFile incomplete_file("less.yaml", "trace: x\n");
  BOOST_TEST(!ReadExpectation(incomplete_file.path).has_value());
  const auto event = EventFromJson(
      web::json::value::parse("{\"event\":\"tick\",\"lateness_us\":\"x\"}"));
  BOOST_TEST(!event.has_value());
}

// Guards against a recording that depends on anything but its options and its
// seed.
BOOST_AUTO_TEST_CASE(RecordingIsDeterministic) {
  RecordOptions options;
  options.fault = "flapping";
  options.requests_per_second = 200;
  options.daemon_index = 3;
  std::ostringstream first;
  std::ostringstream second;
  BOOST_TEST(RecordTrace(options, first));
  BOOST_TEST(RecordTrace(options, second));
  BOOST_TEST(first.str() == second.str());
  options.fault = "unknown";
  BOOST_TEST(!RecordTrace(options, second));
}

// Guards against a CUSUM detector that falls behind a baseline because it
// misses a faulty upstream or takes 5 s or longer to detect it, that ejects
// healthy upstreams, or that violates the floor. A partition is exempt from the
// time limit, because the floor keeps a daemon from removing all upstreams
// behind it.
BOOST_AUTO_TEST_CASE(EveryFaultIsDetectedWithinTheFloor) {
  for (const Workload& workload :
       {MakeSnorfiksWorkload(1000), MakeKristalniWorkload(1000)}) {
    for (const FaultKind fault : AllFaultKinds()) {
      const Measurement measurement =
          RunShortSimulation(workload, fault, health::CusumDetector());
      BOOST_TEST_CONTEXT(workload.name << " " << ToName(fault) << " seed 11") {
        BOOST_TEST(measurement.missed_detections == 0U);
        BOOST_TEST(measurement.floor_violations == 0U);
        BOOST_TEST(measurement.false_fleet_ejections == 0U);
        BOOST_TEST(measurement.false_ejections <= 1U);
        for (const base::Duration detection_time :
             measurement.detection_times) {
          if (fault != FaultKind::kOneWayPartition)
            BOOST_TEST(detection_time.count() < 5000000);
        }
      }
    }
  }
}

// Guards against fleet-wide ejections because of a partition, a paused daemon
// or an overload of all upstreams.
BOOST_AUTO_TEST_CASE(PartitionPauseAndOverloadCauseNoFleetEjection) {
  for (const FaultKind fault :
       {FaultKind::kOneWayPartition, FaultKind::kPausedObserver,
        FaultKind::kOverload, FaultKind::kNone}) {
    const Measurement measurement = RunShortSimulation(
        MakeSnorfiksWorkload(1000), fault, health::CusumDetector());
    BOOST_TEST(measurement.fleet_ejections == 0U);
  }
}

// Guards against baselines that detect nothing, which would make any detector
// pass the comparison with them.
BOOST_AUTO_TEST_CASE(BaselinesDetectPlainFailures) {
  for (const health::Detector& detector :
       {health::ConsecutiveFailuresDetector(), health::SuccessRateDetector()}) {
    const Measurement measurement =
        RunShortSimulation(MakeSnorfiksWorkload(1000),
                           FaultKind::kMisleadingHealthEndpoint, detector);
    BOOST_TEST(measurement.missed_detections * 5 <
               measurement.detection_times.size());
    BOOST_TEST(measurement.floor_violations == 0U);
  }
}

}  // namespace poplarfork::replay
