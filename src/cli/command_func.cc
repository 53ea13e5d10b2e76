#include "cli/command_func.h"

#include <cpprest/json.h>

#include <sstream>
#include <utility>

#include "base/error_func.h"
#include "cli/explain_logs_func.h"
#include "cli/publish_command_func.h"
#include "cli/table_func.h"
#include "cli/where_command_func.h"
#include "note/configuration_codec_func.h"
#include "note/diff_func.h"
#include "note/parse_note_func.h"

namespace poplarfork::cli {

namespace {

using web::json::value;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

const char* DiffKindName(note::DiffKind kind) {
  switch (kind) {
    case note::DiffKind::kAdded:
      return "added";
    case note::DiffKind::kChanged:
      return "changed";
    case note::DiffKind::kWithdrawn:
      return "withdrawn";
  }
  return "";
}

CommandResult MakeCheckResult(const Options& options,
                              const note::ReleaseNote& note) {
  CommandResult result;
  if (options.output == OutputFormat::kJson) {
    value json = value::object();
    json["result"] = value::string("fine");
    json["file"] = value::string(options.argument);
    json["note_id"] = value::string(note.id.value);
    result.standard_output = json.serialize() + "\n";
  } else {
    result.standard_output = options.argument + ": fine\n";
  }
  return result;
}

CommandResult RunCheck(const Options& options, const Environment& environment) {
  const auto note = ReadNoteFile(options, environment);
  if (!note.has_value())
    return MakeNoteErrorResult(options, note.error());
  return MakeCheckResult(options, note.value().note);
}

CommandResult MakeDiffResult(const Options& options,
                             const note::Diff& diff,
                             base::Revision revision) {
  CommandResult result;
  if (options.output == OutputFormat::kJson) {
    value json = value::object();
    json["revision"] = value::number(revision.value);
    value lines = value::array(diff.size());
    for (std::size_t i = 0; i < diff.size(); ++i) {
      lines[i]["kind"] = value::string(DiffKindName(diff[i].kind));
      lines[i]["item"] = value::string(diff[i].item_name);
      lines[i]["before"] = value::string(diff[i].before);
      lines[i]["after"] = value::string(diff[i].after);
    }
    json["changes"] = lines;
    result.standard_output = json.serialize() + "\n";
    return result;
  }
  std::ostringstream text;
  text << "against revision " << revision.value << ":\n";
  for (const note::DiffLine& line : diff)
    text << note::ToString(line) << "\n";
  result.standard_output = text.str();
  return result;
}

CommandResult RunDiff(const Options& options, const Environment& environment) {
  const auto note = ReadNoteFile(options, environment);
  if (!note.has_value())
    return MakeNoteErrorResult(options, note.error());
  AdminRequest request;
  request.daemon_address = options.daemon_address;
  request.path = "/admin/v1/configuration";
  const AdminResponse response = environment.send_admin_request(request);
  if (response.status != AdminStatus::kResponded)
    return MakeNotReachableResult(options, response);
  const auto configuration = note::ConfigurationFromJson(response.body);
  if (response.http_status != kHttpOk || !configuration.has_value())
    return MakeUnexpectedResponseResult(options, response);
  const auto diff = note::DiffNote(configuration.value(), note.value().note);
  if (!diff.has_value())
    return MakeNoteErrorResult(options, diff.error());
  return MakeDiffResult(options, diff.value(), configuration.value().revision);
}

// Returns true if the text has the form of a request id, which consists of
// letters, digits, '.', '_', ':' and '-'. Other texts are rejected, because for
// example "../status" would change the path of the admin request.
bool IsValidRequestId(const std::string& id) {
  return id.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRST"
             "UVWXYZ0123456789._:-") == std::string::npos;
}

// Prints the JSON that the daemon returns for `path`.
CommandResult ShowResource(const Options& options,
                           const Environment& environment,
                           const std::string& path) {
  AdminRequest request;
  request.daemon_address = options.daemon_address;
  request.path = path;
  const AdminResponse response = environment.send_admin_request(request);
  if (response.status != AdminStatus::kResponded)
    return MakeNotReachableResult(options, response);
  if (response.http_status == kHttpNotFound) {
    return CommandResult{
        ExitCode::kRejected, "",
        options.daemon_address + " has no resource " + path + "\n"};
  }
  std::error_code parse_error;
  const value json = value::parse(response.body, parse_error);
  if (response.http_status != kHttpOk || parse_error)
    return MakeUnexpectedResponseResult(options, response);
  CommandResult result;
  result.standard_output = options.output == OutputFormat::kJson
                               ? json.serialize() + "\n"
                               : FormatTable(json);
  return result;
}

CommandResult RunExplain(const Options& options,
                         const Environment& environment) {
  if (!IsValidRequestId(options.argument)) {
    return CommandResult{
        ExitCode::kUsageError, "",
        "explain: '" + options.argument +
            "' is not a request id; accepted: letters, digits, '.', "
            "'_', ':' and '-'\n"};
  }
  if (options.logs.empty())
    return ShowResource(options, environment,
                        "/admin/v1/explain/" + options.argument);
  std::vector<std::string> log_texts(options.logs.size());
  for (std::size_t i = 0; i < log_texts.size(); ++i) {
    if (!environment.read_file(options.logs[i], log_texts[i])) {
      return CommandResult{
          ExitCode::kUsageError, "",
          "explain: the log file " + options.logs[i] + " cannot be read\n"};
    }
  }
  return ExplainLogs(options.argument, log_texts, options.output);
}

}  // namespace

CommandResult RunCommand(const Options& options,
                         const Environment& environment) {
  switch (options.command) {
    case Command::kCheck:
      return RunCheck(options, environment);
    case Command::kDiff:
      return RunDiff(options, environment);
    case Command::kPublish:
      return RunPublish(options, environment);
    case Command::kStatus:
      return ShowResource(options, environment, "/admin/v1/status");
    case Command::kExplain:
      return RunExplain(options, environment);
    case Command::kHistory:
      return ShowResource(options, environment, "/admin/v1/history");
    case Command::kWhere:
      return RunWhere(options, environment);
  }
  return CommandResult{ExitCode::kUsageError, "", ""};
}

}  // namespace poplarfork::cli
