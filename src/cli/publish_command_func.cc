#include "cli/publish_command_func.h"

#include <cpprest/json.h>

#include <sstream>
#include <utility>
#include <vector>

#include "base/error_func.h"
#include "note/parse_note_func.h"

namespace poplarfork::cli {

namespace {

using web::json::value;

// The outcome of a publication: what the daemon's response says, or "unknown"
// or "not_sent" if there is no readable response.
struct Outcome {
  ExitCode exit_code = ExitCode::kUnknown;
  std::string result = "unknown";
  std::uint64_t revision = 0;
  std::string reason;
  std::string detail;
};

std::string StringField(const value& json, const char* name) {
  const bool present = json.has_string_field(name);
  return present ? json.at(name).as_string() : std::string();
}

std::uint64_t NumberField(const value& json, const char* name) {
  const bool present = json.has_number_field(name);
  return present ? json.at(name).as_number().to_uint64() : 0;
}

ExitCode ExitCodeOf(const std::string& result) {
  if (result == "accepted")
    return ExitCode::kOk;
  if (result == "rejected")
    return ExitCode::kRejected;
  return ExitCode::kUnknown;
}

Outcome OutcomeOf(const AdminAnswer& answer) {
  Outcome outcome;
  if (answer.status == AdminStatus::kNotReachable) {
    outcome.exit_code = ExitCode::kDaemonNotReachable;
    outcome.result = "not_sent";
    outcome.reason = answer.detail;
    return outcome;
  }
  std::error_code code;
  const value json = value::parse(answer.body, code);
  if (answer.status == AdminStatus::kNoAnswer || code || !json.is_object()) {
    outcome.reason = answer.status == AdminStatus::kNoAnswer
                         ? answer.detail
                         : "the daemon's response is not JSON";
    return outcome;
  }
  outcome.result = StringField(json, "result");
  outcome.exit_code = ExitCodeOf(outcome.result);
  outcome.revision = NumberField(json, "revision");
  outcome.reason = StringField(json, "reason");
  outcome.detail = StringField(json, "detail");
  return outcome;
}

std::string OutcomeJson(const Outcome& outcome, const std::string& note_id) {
  value json = value::object();
  json["result"] = value::string(outcome.result);
  json["revision"] = value::number(outcome.revision);
  json["reason"] = value::string(outcome.reason);
  json["detail"] = value::string(outcome.detail);
  json["note_id"] = value::string(note_id);
  return json.serialize() + "\n";
}

std::string OutcomeText(const Outcome& outcome) {
  std::string text = outcome.result;
  if (outcome.exit_code == ExitCode::kOk)
    text += " as revision " + std::to_string(outcome.revision);
  if (!outcome.reason.empty())
    text += ": " + outcome.reason;
  if (!outcome.detail.empty())
    text += "\n" + outcome.detail;
  return text + "\n";
}

std::string RetryText(const Options& options, const std::string& note_id) {
  return "it is safe to publish again with the same id: poplarfork publish " +
         options.argument + " --note_id=" + note_id + "\n";
}

Report OutcomeReport(const Options& options,
                     const Outcome& outcome,
                     const std::string& note_id) {
  Report report;
  report.exit_code = outcome.exit_code;
  if (options.output == OutputFormat::kJson) {
    report.standard_output = OutcomeJson(outcome, note_id);
    return report;
  }
  report.standard_output = "note id " + note_id + "\n" + OutcomeText(outcome);
  const bool open = outcome.exit_code == ExitCode::kUnknown ||
                    outcome.exit_code == ExitCode::kDaemonNotReachable;
  if (open)
    report.standard_error = RetryText(options, note_id);
  return report;
}

std::vector<std::string> FaultLines(const base::Error& error) {
  std::vector<std::string> lines;
  std::istringstream stream(error.detail);
  std::string line;
  while (std::getline(stream, line))
    lines.push_back(error.peer + ": " + line);
  return lines;
}

// Returns the id under which the note is published. The id in the note takes
// precedence over the flag; `RunPublish` has checked that they do not differ.
std::string ChooseNoteId(const Options& options,
                         const Environment& environment,
                         const base::NoteId& in_note) {
  if (!in_note.value.empty())
    return in_note.value;
  if (!options.note_id.empty())
    return options.note_id;
  return environment.new_note_id();
}

}  // namespace

base::Result<NoteFile> ReadNoteFile(const Options& options,
                                    const Environment& environment) {
  NoteFile file;
  if (!environment.read_file(options.argument, file.text)) {
    return base::MakeError(base::ErrorCode::kMissing, base::Step::kParseNote,
                           options.argument, "the file cannot be read");
  }
  auto note = note::ParseReleaseNote(file.text, options.argument);
  if (!note.has_value())
    return note.error();
  file.note = std::move(note.value());
  return file;
}

Report FaultReport(const Options& options, const base::Error& error) {
  Report report;
  report.exit_code = ExitCode::kRejected;
  const std::vector<std::string> lines = FaultLines(error);
  if (options.output == OutputFormat::kJson) {
    value json = value::object();
    json["result"] = value::string("rejected");
    json["errors"] = value::array(lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i)
      json["errors"][i] = value::string(lines[i]);
    report.standard_output = json.serialize() + "\n";
    return report;
  }
  for (const std::string& line : lines)
    report.standard_error += line + "\n";
  return report;
}

Report NotReachableReport(const Options& options, const AdminAnswer& answer) {
  return Report{ExitCode::kDaemonNotReachable, "",
                "daemon " + options.daemon +
                    " is not reachable: " + answer.detail + "\n"};
}

Report BadAnswerReport(const Options& options, const AdminAnswer& answer) {
  return Report{ExitCode::kRejected, "",
                "daemon " + options.daemon + " responded with status " +
                    std::to_string(answer.http_status) + ": " + answer.body +
                    "\n"};
}

Report Publish(const Options& options, const Environment& environment) {
  const auto file = ReadNoteFile(options, environment);
  if (!file.has_value())
    return FaultReport(options, file.error());
  const base::NoteId& in_note = file.value().note.id;
  const bool differs = !in_note.value.empty() && !options.note_id.empty() &&
                       in_note.value != options.note_id;
  if (differs) {
    return Report{ExitCode::kUsage, "",
                  "--note_id is " + options.note_id + ", but the id in " +
                      options.argument + " is " + in_note.value + "\n"};
  }
  AdminRequest request;
  request.daemon = options.daemon;
  request.path = "/admin/v1/notes";
  request.body = file.value().text;
  request.note_id = ChooseNoteId(options, environment, in_note);
  request.is_post = true;
  const AdminAnswer answer = environment.call_admin(request);
  return OutcomeReport(options, OutcomeOf(answer), request.note_id);
}

}  // namespace poplarfork::cli
