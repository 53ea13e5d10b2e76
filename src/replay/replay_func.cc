#include "replay/replay_func.h"

#include <algorithm>

#include "health/floor_func.h"
#include "health/name_func.h"
#include "health/service_health_func.h"
#include "replay/decision_text_func.h"
#include "replay/expectation_func.h"
#include "replay/trace_func.h"

namespace poplarfork::replay {

namespace {

constexpr std::size_t kMaxDifferences = 20;

void AddDifference(ReplayReport& report, const std::string& line) {
  if (report.differences.size() < kMaxDifferences)
    report.differences.push_back(line);
}

std::string FormatSeconds(base::Duration elapsed) {
  return std::to_string(std::chrono::duration<double>(elapsed).count()) + " s";
}

void CompareDecisions(const TraceStep& step,
                      const health::Actions& actions,
                      base::TimePoint start,
                      ReplayReport& report) {
  const std::size_t count = std::max(step.decisions.size(), actions.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::string recorded =
        i < step.decisions.size() ? step.decisions[i] : "nothing";
    const std::string replayed =
        i < actions.size() ? FormatDecision(actions[i]) : "nothing";
    if (recorded != replayed) {
      std::string difference = "at ";
      difference.append(FormatSeconds(step.handled_at - start))
          .append(": recorded ")
          .append(recorded)
          .append("; replayed ")
          .append(replayed);
      AddDifference(report, difference);
    }
  }
}

// Returns true if fewer slots than the floor remain although upstreams that are
// not draining are out of service.
bool ViolatesFloor(const health::ServiceHealth& health, base::TimePoint now) {
  const health::RoutingView view = health::BuildRoutingView(health, now);
  std::uint64_t listed_slots = 0;
  std::uint64_t not_draining_slots = 0;
  for (const health::RoutingEntry& entry : view.entries) {
    listed_slots += entry.slots;
    not_draining_slots += entry.draining ? 0 : entry.slots;
  }
  const std::uint64_t remaining_slots =
      health::RemainingSlots(view, health::RoutableUpstreams(view));
  const std::uint64_t floor_slots =
      health::FloorSlots(view.floor, listed_slots);
  return remaining_slots < std::min(floor_slots, not_draining_slots);
}

bool MatchesExpectation(const ExpectedDecision& expected,
                        const health::Action& action,
                        base::Duration elapsed) {
  if (expected.decision != health::ToName(action.kind))
    return false;
  if (!expected.reason.empty() &&
      expected.reason != health::ToName(action.reason))
    return false;
  if (!expected.upstream.empty() && expected.upstream != action.upstream.value)
    return false;
  const bool is_excluded =
      std::find(expected.excluded_upstreams.begin(),
                expected.excluded_upstreams.end(),
                action.upstream.value) != expected.excluded_upstreams.end();
  return !is_excluded && elapsed < expected.time_limit;
}

void CompareCounts(const Expectation& expectation,
                   const std::vector<std::uint64_t>& counts,
                   ReplayReport& report) {
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const ExpectedDecision& expected = expectation.decisions[i];
    if (counts[i] >= expected.min_count && counts[i] <= expected.max_count)
      continue;
    AddDifference(report, "decision " + expected.decision + " " +
                              expected.reason + " " + expected.upstream +
                              " occurred " + std::to_string(counts[i]) +
                              " times, which is not expected");
  }
  if (report.floor_violations != expectation.floor_violations) {
    AddDifference(report, "unexpected number of floor violations: " +
                              std::to_string(report.floor_violations));
  }
}

}  // namespace

base::Result<ReplayReport> ReplayTrace(const Trace& trace,
                                       const Expectation& expectation) {
  const TraceHeader& header = trace.header;
  const base::Result<health::Detector> detector = FindDetector(header.detector);
  if (!detector.has_value())
    return detector.error();
  health::ServiceHealth health = health::BuildServiceHealth(
      header.service, header.self, header.start, detector.value());
  base::Rng rng(header.seed);
  ReplayReport report;
  std::vector<std::uint64_t> counts(expectation.decisions.size(), 0);
  for (const TraceStep& step : trace.steps) {
    const health::Actions actions =
        health::HandleEvent(health, step.event, step.handled_at, rng);
    ++report.events;
    report.decisions += actions.size();
    CompareDecisions(step, actions, header.start, report);
    for (const health::Action& action : actions) {
      for (std::size_t i = 0; i < counts.size(); ++i) {
        const bool matches = MatchesExpectation(
            expectation.decisions[i], action, step.handled_at - header.start);
        counts[i] += matches ? 1 : 0;
      }
    }
    if (ViolatesFloor(health, step.handled_at))
      ++report.floor_violations;
  }
  CompareCounts(expectation, counts, report);
  return report;
}

base::Result<ReplayReport> ReplayTraceFile(const std::string& file) {
  const std::size_t extension_start = file.rfind('.');
  const base::Result<Expectation> expectation =
      ReadExpectation(file.substr(0, extension_start) + ".yaml");
  if (!expectation.has_value())
    return expectation.error();
  const base::Result<Trace> trace = ReadTrace(file);
  if (!trace.has_value())
    return trace.error();
  return ReplayTrace(trace.value(), expectation.value());
}

}  // namespace poplarfork::replay
