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
struct PublishOutcome {
  ExitCode exit_code = ExitCode::kUnknownOutcome;
  std::string result = "unknown";
  std::uint64_t revision = 0;
  std::string reason;
  std::string detail;
};

std::string GetStringMember(const value& json, const char* name) {
  const bool present = json.has_string_field(name);
  return present ? json.at(name).as_string() : std::string();
}

std::uint64_t GetNumberMember(const value& json, const char* name) {
  const bool present = json.has_number_field(name);
  return present ? json.at(name).as_number().to_uint64() : 0;
}

ExitCode ToExitCode(const std::string& result) {
  if (result == "accepted")
    return ExitCode::kOk;
  if (result == "rejected")
    return ExitCode::kRejected;
  return ExitCode::kUnknownOutcome;
}

PublishOutcome ToPublishOutcome(const AdminResponse& response) {
  PublishOutcome outcome;
  if (response.status == AdminStatus::kNotReachable) {
    outcome.exit_code = ExitCode::kDaemonNotReachable;
    outcome.result = "not_sent";
    outcome.reason = response.error_detail;
    return outcome;
  }
  std::error_code parse_error;
  const value json = value::parse(response.body, parse_error);
  if (response.status == AdminStatus::kNoResponse || parse_error ||
      !json.is_object()) {
    outcome.reason = response.status == AdminStatus::kNoResponse
                         ? response.error_detail
                         : "the daemon's response is not JSON";
    return outcome;
  }
  outcome.result = GetStringMember(json, "result");
  outcome.exit_code = ToExitCode(outcome.result);
  outcome.revision = GetNumberMember(json, "revision");
  outcome.reason = GetStringMember(json, "reason");
  outcome.detail = GetStringMember(json, "detail");
  return outcome;
}

std::string FormatOutcomeJson(const PublishOutcome& outcome,
                              const std::string& note_id) {
  value json = value::object();
  json["result"] = value::string(outcome.result);
  json["revision"] = value::number(outcome.revision);
  json["reason"] = value::string(outcome.reason);
  json["detail"] = value::string(outcome.detail);
  json["note_id"] = value::string(note_id);
  return json.serialize() + "\n";
}

std::string FormatOutcomeText(const PublishOutcome& outcome) {
  std::string text = outcome.result;
  if (outcome.exit_code == ExitCode::kOk)
    text += " as revision " + std::to_string(outcome.revision);
  if (!outcome.reason.empty())
    text += ": " + outcome.reason;
  if (!outcome.detail.empty())
    text += "\n" + outcome.detail;
  return text + "\n";
}

std::string FormatRetryHint(const Options& options,
                            const std::string& note_id) {
  return "it is safe to publish again with the same id: poplarfork publish " +
         options.argument + " --note_id=" + note_id + "\n";
}

CommandResult MakeOutcomeResult(const Options& options,
                                const PublishOutcome& outcome,
                                const std::string& note_id) {
  CommandResult result;
  result.exit_code = outcome.exit_code;
  if (options.output == OutputFormat::kJson) {
    result.standard_output = FormatOutcomeJson(outcome, note_id);
    return result;
  }
  result.standard_output =
      "note id " + note_id + "\n" + FormatOutcomeText(outcome);
  const bool can_publish_again =
      outcome.exit_code == ExitCode::kUnknownOutcome ||
      outcome.exit_code == ExitCode::kDaemonNotReachable;
  if (can_publish_again)
    result.standard_error = FormatRetryHint(options, note_id);
  return result;
}

std::vector<std::string> FormatErrorLines(const base::Error& error) {
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
                         const base::NoteId& id_in_note) {
  if (!id_in_note.value.empty())
    return id_in_note.value;
  if (!options.note_id.empty())
    return options.note_id;
  return environment.generate_note_id();
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

CommandResult MakeNoteErrorResult(const Options& options,
                                  const base::Error& error) {
  CommandResult result;
  result.exit_code = ExitCode::kRejected;
  const std::vector<std::string> lines = FormatErrorLines(error);
  if (options.output == OutputFormat::kJson) {
    value json = value::object();
    json["result"] = value::string("rejected");
    json["errors"] = value::array(lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i)
      json["errors"][i] = value::string(lines[i]);
    result.standard_output = json.serialize() + "\n";
    return result;
  }
  for (const std::string& line : lines)
    result.standard_error += line + "\n";
  return result;
}

CommandResult MakeNotReachableResult(const Options& options,
                                     const AdminResponse& response) {
  return CommandResult{ExitCode::kDaemonNotReachable, "",
                       "daemon " + options.daemon_address +
                           " is not reachable: " + response.error_detail +
                           "\n"};
}

CommandResult MakeUnexpectedResponseResult(const Options& options,
                                           const AdminResponse& response) {
  return CommandResult{
      ExitCode::kRejected, "",
      "daemon " + options.daemon_address + " responded with status " +
          std::to_string(response.http_status) + ": " + response.body + "\n"};
}

CommandResult RunPublish(const Options& options,
                         const Environment& environment) {
  const auto file = ReadNoteFile(options, environment);
  if (!file.has_value())
    return MakeNoteErrorResult(options, file.error());
  const base::NoteId& id_in_note = file.value().note.id;
  const bool ids_differ = !id_in_note.value.empty() &&
                          !options.note_id.empty() &&
                          id_in_note.value != options.note_id;
  if (ids_differ) {
    return CommandResult{ExitCode::kUsageError, "",
                         "--note_id is " + options.note_id +
                             ", but the id in " + options.argument + " is " +
                             id_in_note.value + "\n"};
  }
  AdminRequest request;
  request.daemon_address = options.daemon_address;
  request.path = "/admin/v1/notes";
  request.body = file.value().text;
  request.note_id = ChooseNoteId(options, environment, id_in_note);
  request.is_post = true;
  const AdminResponse response = environment.send_admin_request(request);
  return MakeOutcomeResult(options, ToPublishOutcome(response),
                           request.note_id);
}

}  // namespace poplarfork::cli
