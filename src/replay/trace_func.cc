#include "replay/trace_func.h"

#include <array>
#include <fstream>
#include <ostream>

#include <cpprest/json.h>

#include "base/error_func.h"
#include "health/baseline_func.h"
#include "health/cusum_func.h"
#include "replay/decision_text_func.h"
#include "replay/event_json_func.h"

namespace poplarfork::replay {

namespace {

using web::json::value;

constexpr std::int64_t kTraceFormatVersion = 1;

base::Error MakeMalformedError(const std::string& file,
                               std::size_t line_number,
                               const std::string& detail) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kReplay,
                         file + ":" + std::to_string(line_number), detail);
}

TraceHeader HeaderFromJson(const value& json) {
  if (json.at("format").as_number().to_int64() != kTraceFormatVersion)
    throw web::json::json_exception("the trace format is not 1");
  TraceHeader header;
  header.service = ServiceFromJson(json.at("service"));
  header.self = MemberFromJson(json.at("self"));
  header.detector = json.at("detector").as_string();
  header.seed = json.at("seed").as_number().to_uint64();
  header.start = base::TimePoint(
      base::Duration(json.at("start_us").as_number().to_int64()));
  return header;
}

std::vector<std::string> DecisionsFromJson(const value& json) {
  std::vector<std::string> decisions;
  if (!json.has_field("decisions"))
    return decisions;
  for (const value& decision : json.at("decisions").as_array())
    decisions.push_back(decision.as_string());
  return decisions;
}

}  // namespace

base::Result<health::Detector> FindDetector(const std::string& name) {
  const std::array<health::Detector, 3> detectors = {
      health::CusumDetector(), health::ConsecutiveFailuresDetector(),
      health::SuccessRateDetector()};
  for (const health::Detector& detector : detectors) {
    if (name == detector.name)
      return detector;
  }
  return base::MakeError(
      base::ErrorCode::kUnknownKey, base::Step::kReplay, "",
      "the detector is not cusum, consecutive_failures or success_rate");
}

void WriteTrace(const TraceHeader& header,
                const Recording& recording,
                std::ostream& out) {
  value header_json;
  header_json["format"] = value::number(kTraceFormatVersion);
  header_json["service"] = ServiceToJson(header.service);
  header_json["self"] = MemberToJson(header.self);
  header_json["detector"] = value::string(header.detector);
  header_json["seed"] = value::number(header.seed);
  header_json["start_us"] = value::number(
      static_cast<std::int64_t>(header.start.time_since_epoch().count()));
  out << header_json.serialize() << "\n";
  for (const RecordedStep& step : recording.steps) {
    value step_json = EventToJson(step.event);
    step_json["t"] = value::number(
        static_cast<std::int64_t>((step.handled_at - header.start).count()));
    std::vector<value> decisions;
    for (const health::Action& action : step.actions)
      decisions.push_back(value::string(FormatDecision(action)));
    if (!decisions.empty())
      step_json["decisions"] = value::array(decisions);
    out << step_json.serialize() << "\n";
  }
}

base::Result<Trace> ReadTrace(const std::string& file) {
  std::ifstream input(file);
  if (!input) {
    return base::MakeError(base::ErrorCode::kMissing, base::Step::kReplay, file,
                           "the trace file can't be opened");
  }
  Trace trace;
  std::string line_text;
  std::size_t line_number = 0;
  try {
    while (std::getline(input, line_text)) {
      ++line_number;
      const value json = value::parse(line_text);
      if (line_number == 1) {
        trace.header = HeaderFromJson(json);
        continue;
      }
      base::Result<health::Event> event = EventFromJson(json);
      if (!event.has_value())
        return MakeMalformedError(file, line_number, event.error().detail);
      const base::Duration elapsed(json.at("t").as_number().to_int64());
      trace.steps.push_back({trace.header.start + elapsed, event.value(),
                             DecisionsFromJson(json)});
    }
  } catch (const web::json::json_exception& exception) {
    return MakeMalformedError(file, line_number, exception.what());
  }
  if (line_number == 0)
    return MakeMalformedError(file, 1, "the trace has no header line");
  return trace;
}

}  // namespace poplarfork::replay
