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
#include "replay/run_func.h"
#include "replay/trace_func.h"
#include "replay/workload_func.h"

namespace poplarfork::replay {

namespace {

constexpr const char* kTraces = POPLARFORK_SOURCE_DIR "/traces";

Trace LoadTrace(const char* name) {
  return ReadTrace(std::string(kTraces) + "/" + name + ".jsonl").value();
}

Expectation LoadExpectation(const char* name) {
  return ReadExpectation(std::string(kTraces) + "/" + name + ".yaml").value();
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

Timeline ShortTimeline() {
  Timeline timeline;
  timeline.drain_start = std::chrono::seconds(10);
  timeline.fault_start = std::chrono::seconds(20);
  timeline.fault_end = std::chrono::seconds(35);
  timeline.drain_end = std::chrono::seconds(40);
  timeline.end = std::chrono::seconds(60);
  return timeline;
}

Measurement RunShort(const Workload& workload,
                     FaultKind fault,
                     const health::Detector& detector) {
  RunPlan plan;
  plan.workload = workload;
  plan.detector = detector;
  plan.fault = fault;
  plan.timeline = ShortTimeline();
  plan.seed = 11;
  return Run(plan, nullptr);
}

}  // namespace

// Guards against a change of the health code that alters the decisions on the
// recorded traces.
BOOST_AUTO_TEST_CASE(CommittedTracesReplayBitForBit) {
  std::size_t traces = 0;
  for (const auto& entry : std::filesystem::directory_iterator(kTraces)) {
    if (entry.path().extension() != ".jsonl")
      continue;
    ++traces;
    const ReplayReport report = ReplayFile(entry.path().string()).value();
    BOOST_TEST(report.events > 100U);
    for (const std::string& difference : report.differences)
      BOOST_ERROR(entry.path().filename().string() << ": " << difference);
  }
  BOOST_TEST(traces == 5U);
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
  const TemporaryFile trace("bad.jsonl", "{\"format\":2}\n");
  const auto read = ReadTrace(trace.path);
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST(read.error().peer == trace.path + ":1");
  BOOST_TEST(!ReadTrace("does_not_exist.jsonl").has_value());
  const TemporaryFile empty("empty.jsonl", "");
  BOOST_TEST(!ReadTrace(empty.path).has_value());
  const TemporaryFile unknown("bad.yaml",
                              "trace: x\nfloor_violations: 0\nsurprise: 1\n");
  BOOST_TEST(!ReadExpectation(unknown.path).has_value());
  const TemporaryFile incomplete("less.yaml", "trace: x\n");
  BOOST_TEST(!ReadExpectation(incomplete.path).has_value());
  const auto event = EventFromJson(
      web::json::value::parse("{\"event\":\"tick\",\"lateness_us\":\"x\"}"));
  BOOST_TEST(!event.has_value());
}

// Guards against a recording that depends on anything but its options and its
// seed.
BOOST_AUTO_TEST_CASE(RecordingIsDeterministic) {
  RecordOptions options;
  options.fault = "flapping";
  options.rate = 200;
  options.daemon = 3;
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
       {SnorfiksWorkload(1000), KristalniWorkload(1000)}) {
    for (const FaultKind fault : AllFaults()) {
      const Measurement measured =
          RunShort(workload, fault, health::CusumDetector());
      BOOST_TEST_CONTEXT(workload.name << " " << NameOf(fault) << " seed 11") {
        BOOST_TEST(measured.missed == 0U);
        BOOST_TEST(measured.floor_violations == 0U);
        BOOST_TEST(measured.false_fleet_ejections == 0U);
        BOOST_TEST(measured.false_ejections <= 1U);
        for (const base::Duration detection : measured.detections) {
          if (fault != FaultKind::kOneWayPartition)
            BOOST_TEST(detection.count() < 5000000);
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
    const Measurement measured =
        RunShort(SnorfiksWorkload(1000), fault, health::CusumDetector());
    BOOST_TEST(measured.fleet_ejections == 0U);
  }
}

// Guards against baselines that detect nothing, which would make any detector
// pass the comparison with them.
BOOST_AUTO_TEST_CASE(BaselinesDetectPlainFailures) {
  for (const health::Detector& detector :
       {health::ConsecutiveFailuresDetector(), health::SuccessRateDetector()}) {
    const Measurement measured = RunShort(
        SnorfiksWorkload(1000), FaultKind::kLyingHealthEndpoint, detector);
    BOOST_TEST(measured.missed * 5 < measured.detections.size());
    BOOST_TEST(measured.floor_violations == 0U);
  }
}

}  // namespace poplarfork::replay
