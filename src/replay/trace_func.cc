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

constexpr std::int64_t kFormat = 1;

base::Error Malformed(const std::string& file,
                      std::size_t line,
                      const std::string& what) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kReplay,
                         file + ":" + std::to_string(line), what);
}

TraceHeader HeaderFromJson(const value& json) {
  if (json.at("format").as_number().to_int64() != kFormat)
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

base::Result<health::Detector> DetectorOfName(const std::string& name) {
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
  value first;
  first["format"] = value::number(kFormat);
  first["service"] = ServiceToJson(header.service);
  first["self"] = MemberToJson(header.self);
  first["detector"] = value::string(header.detector);
  first["seed"] = value::number(header.seed);
  first["start_us"] = value::number(
      static_cast<std::int64_t>(header.start.time_since_epoch().count()));
  out << first.serialize() << "\n";
  for (const RecordedStep& step : recording.steps) {
    value line = EventToJson(step.event);
    line["t"] = value::number(
        static_cast<std::int64_t>((step.at - header.start).count()));
    std::vector<value> decisions;
    for (const health::Action& action : step.actions)
      decisions.push_back(value::string(DecisionText(action)));
    if (!decisions.empty())
      line["decisions"] = value::array(decisions);
    out << line.serialize() << "\n";
  }
}

base::Result<Trace> ReadTrace(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return base::MakeError(base::ErrorCode::kMissing, base::Step::kReplay, file,
                           "the trace file can't be opened");
  }
  Trace trace;
  std::string text;
  std::size_t line = 0;
  try {
    while (std::getline(in, text)) {
      ++line;
      const value json = value::parse(text);
      if (line == 1) {
        trace.header = HeaderFromJson(json);
        continue;
      }
      base::Result<health::Event> event = EventFromJson(json);
      if (!event.has_value())
        return Malformed(file, line, event.error().detail);
      const base::Duration since(json.at("t").as_number().to_int64());
      trace.steps.push_back(
          {trace.header.start + since, event.value(), DecisionsFromJson(json)});
    }
  } catch (const web::json::json_exception& exception) {
    return Malformed(file, line, exception.what());
  }
  if (line == 0)
    return Malformed(file, 1, "the trace has no header line");
  return trace;
}

}  // namespace poplarfork::replay
