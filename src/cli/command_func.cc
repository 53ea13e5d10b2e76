#include "cli/command_func.h"

#include <cpprest/json.h>

#include <sstream>
#include <utility>

#include "base/error_func.h"
#include "cli/explain_logs_func.h"
#include "cli/publish_command_func.h"
#include "cli/table_func.h"
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

Report CheckReport(const Options& options, const note::ReleaseNote& note) {
  Report report;
  if (options.output == OutputFormat::kJson) {
    value json = value::object();
    json["result"] = value::string("fine");
    json["file"] = value::string(options.argument);
    json["note_id"] = value::string(note.id.value);
    report.standard_output = json.serialize() + "\n";
  } else {
    report.standard_output = options.argument + ": fine\n";
  }
  return report;
}

Report Check(const Options& options, const Environment& environment) {
  const auto note = ReadNoteFile(options, environment);
  if (!note.has_value())
    return FaultReport(options, note.error());
  return CheckReport(options, note.value().note);
}

Report DiffReport(const Options& options,
                  const note::Diff& diff,
                  base::Revision revision) {
  Report report;
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
    report.standard_output = json.serialize() + "\n";
    return report;
  }
  std::ostringstream text;
  text << "against revision " << revision.value << ":\n";
  for (const note::DiffLine& line : diff)
    text << note::ToString(line) << "\n";
  report.standard_output = text.str();
  return report;
}

Report Diff(const Options& options, const Environment& environment) {
  const auto note = ReadNoteFile(options, environment);
  if (!note.has_value())
    return FaultReport(options, note.error());
  AdminRequest request;
  request.daemon = options.daemon;
  request.path = "/admin/v1/configuration";
  const AdminAnswer answer = environment.call_admin(request);
  if (answer.status != AdminStatus::kAnswered)
    return NotReachableReport(options, answer);
  const auto configuration = note::ConfigurationFromJson(answer.body);
  if (answer.http_status != kHttpOk || !configuration.has_value())
    return BadAnswerReport(options, answer);
  const auto diff = note::DiffNote(configuration.value(), note.value().note);
  if (!diff.has_value())
    return FaultReport(options, diff.error());
  return DiffReport(options, diff.value(), configuration.value().revision);
}

// Returns true if the text has the form of a request id, which consists of
// letters, digits, '.', '_', ':' and '-'. Other texts are rejected, because for
// example "../status" would change the path of the admin request.
bool IsRequestId(const std::string& id) {
  return id.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRST"
             "UVWXYZ0123456789._:-") == std::string::npos;
}

// Prints the JSON that the daemon returns for `path`.
Report Show(const Options& options,
            const Environment& environment,
            const std::string& path) {
  AdminRequest request;
  request.daemon = options.daemon;
  request.path = path;
  const AdminAnswer answer = environment.call_admin(request);
  if (answer.status != AdminStatus::kAnswered)
    return NotReachableReport(options, answer);
  if (answer.http_status == kHttpNotFound) {
    return Report{ExitCode::kRejected, "",
                  options.daemon + " has no resource " + path + "\n"};
  }
  std::error_code code;
  const value json = value::parse(answer.body, code);
  if (answer.http_status != kHttpOk || code)
    return BadAnswerReport(options, answer);
  Report report;
  report.standard_output = options.output == OutputFormat::kJson
                               ? json.serialize() + "\n"
                               : ToTable(json);
  return report;
}

Report Explain(const Options& options, const Environment& environment) {
  if (!IsRequestId(options.argument)) {
    return Report{ExitCode::kUsage, "",
                  "explain: '" + options.argument +
                      "' is not a request id; accepted: letters, digits, '.', "
                      "'_', ':' and '-'\n"};
  }
  if (options.logs.empty())
    return Show(options, environment, "/admin/v1/explain/" + options.argument);
  std::vector<std::string> texts(options.logs.size());
  for (std::size_t i = 0; i < texts.size(); ++i) {
    if (!environment.read_file(options.logs[i], texts[i])) {
      return Report{
          ExitCode::kUsage, "",
          "explain: the log file " + options.logs[i] + " cannot be read\n"};
    }
  }
  return ExplainLogs(options.argument, texts, options.output);
}

}  // namespace

Report RunCommand(const Options& options, const Environment& environment) {
  switch (options.command) {
    case Command::kCheck:
      return Check(options, environment);
    case Command::kDiff:
      return Diff(options, environment);
    case Command::kPublish:
      return Publish(options, environment);
    case Command::kStatus:
      return Show(options, environment, "/admin/v1/status");
    case Command::kExplain:
      return Explain(options, environment);
    case Command::kHistory:
      return Show(options, environment, "/admin/v1/history");
  }
  return Report{ExitCode::kUsage, "", ""};
}

}  // namespace poplarfork::cli
