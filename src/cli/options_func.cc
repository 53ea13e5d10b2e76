#include "cli/options_func.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

#include "base/error_func.h"
#include "settings/text_format_func.h"

namespace poplarfork::cli {

namespace {

using base::ErrorCode;

// The syntax of a command and its line in the usage text.
struct CommandSpec {
  const char* name;
  Command command;
  // The placeholder of the argument in the usage text. It is empty if the
  // command takes no argument.
  const char* argument;
  bool needs_daemon;
  const char* summary;
};

constexpr std::array<CommandSpec, 7> kCommands = {{
    {"check", Command::kCheck, "FILE", false,
     "checks a release note without sending it"},
    {"diff", Command::kDiff, "FILE", true,
     "shows what a release note changes in the daemon's configuration"},
    {"publish", Command::kPublish, "FILE", true, "publishes a release note"},
    {"status", Command::kStatus, "", true, "shows the state of the daemon"},
    {"explain", Command::kExplain, "REQUEST_ID", true,
     "shows why a request was handled as it was"},
    {"history", Command::kHistory, "", true, "lists the newest revisions"},
    {"where", Command::kWhere, "", false,
     "shows to which upstream a gateway would send a request, and why"},
}};

constexpr std::array<std::string_view, 10> kFlagNames = {
    "--daemon", "--note_id", "--output", "--logs",    "--gateway",
    "--method", "--path",    "--host",   "--account", "--help"};
constexpr std::string_view kHelpFlag = "--help";

base::Error MakeOptionError(ErrorCode code,
                            std::string subject,
                            std::string detail) {
  return base::MakeError(code, base::Step::kCommandLine, std::move(subject),
                         std::move(detail));
}

const CommandSpec* FindCommandSpec(const std::string& name) {
  for (const CommandSpec& spec : kCommands) {
    if (name == spec.name)
      return &spec;
  }
  return nullptr;
}

std::string ListCommandNames() {
  std::string names;
  for (const CommandSpec& spec : kCommands) {
    if (!names.empty())
      names += ", ";
    names += spec.name;
  }
  return names;
}

bool TakesArgument(const CommandSpec& spec) {
  return spec.argument[0] != '\0';
}

// Checks the flags that describe a request. Fails with kMissing or kOutOfRange
// and the name of the flag.
base::Result<void> CheckWhereOptions(const WhereOptions& where) {
  const std::string address_format =
      settings::DescribeAcceptedFormat(settings::TextFormat::kEndpoint);
  if (where.gateway_address.empty())
    return MakeOptionError(ErrorCode::kMissing, "--gateway",
                           "accepted: " + address_format);
  if (!settings::MatchesFormat(where.gateway_address,
                               settings::TextFormat::kEndpoint))
    return MakeOptionError(
        ErrorCode::kOutOfRange, "--gateway",
        "'" + where.gateway_address + "'; accepted: " + address_format);
  const bool is_method =
      !where.method.empty() && std::ranges::all_of(where.method, [](char c) {
        return std::isalpha(static_cast<unsigned char>(c)) != 0;
      });
  if (!is_method)
    return MakeOptionError(
        where.method.empty() ? ErrorCode::kMissing : ErrorCode::kOutOfRange,
        "--method", "'" + where.method + "'; accepted: a method such as GET");
  if (!where.path.starts_with('/'))
    return MakeOptionError(
        where.path.empty() ? ErrorCode::kMissing : ErrorCode::kOutOfRange,
        "--path",
        "'" + where.path + "'; accepted: a path that begins with a slash");
  return boost::outcome_v2::success();
}

}  // namespace

std::string UsageText() {
  std::string text =
      "poplarfork COMMAND [ARGUMENT] [--daemon=IP:PORT] [--note_id=ID] "
      "[--output=table|json] [--logs=FILE,...]\n"
      "poplarfork where --gateway=IP:PORT --method=GET --path=/PATH "
      "[--host=HOST] [--account=NAME] [--output=table|json]\n\n";
  for (const CommandSpec& spec : kCommands) {
    std::string command_column =
        std::string("  ") + spec.name + " " + spec.argument;
    command_column.resize(std::max<std::size_t>(command_column.size(), 22),
                          ' ');
    text += command_column + spec.summary + "\n";
  }
  return text +
         "\nExit codes: 0 accepted or fine, 1 rejected, 2 usage, 3 outcome "
         "unknown, 4 daemon not reachable.\n";
}

base::Result<void> CheckFlags(const std::vector<std::string>& arguments) {
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (!argument.starts_with("-"))
      continue;
    const std::string name = argument.substr(0, argument.find('='));
    if (std::ranges::find(kFlagNames, name) == kFlagNames.end()) {
      return MakeOptionError(ErrorCode::kUnknownKey, name,
                             "accepted: --daemon, --note_id, --output, --logs, "
                             "--gateway, --method, --path, --host, --account");
    }
    const bool has_value = argument.size() > name.size();
    if (has_value || name == kHelpFlag)
      continue;
    // The flag has no "=VALUE", so the next argument is its value.
    ++i;
    if (i == arguments.size())
      return MakeOptionError(ErrorCode::kMissing, name,
                             "accepted: " + name + "=VALUE");
  }
  return boost::outcome_v2::success();
}

base::Result<Options> ParseOptions(const std::vector<std::string>& positional,
                                   const FlagValues& flags) {
  if (positional.empty())
    return MakeOptionError(ErrorCode::kMissing, "command",
                           "accepted: " + ListCommandNames());
  const std::string& name = positional.front();
  const CommandSpec* spec = FindCommandSpec(name);
  if (spec == nullptr)
    return MakeOptionError(ErrorCode::kUnknownKey, name,
                           "accepted: " + ListCommandNames());
  const std::size_t expected_count = TakesArgument(*spec) ? 2 : 1;
  if (positional.size() != expected_count) {
    return MakeOptionError(
        ErrorCode::kMissing, name,
        "accepted: poplarfork " + name + " " + spec->argument);
  }
  if (flags.output != "table" && flags.output != "json") {
    return MakeOptionError(ErrorCode::kOutOfRange, "--output",
                           "'" + flags.output + "'; accepted: table or json");
  }
  const bool reads_logs =
      spec->command == Command::kExplain && !flags.logs.empty();
  if (spec->needs_daemon && flags.daemon_address.empty() && !reads_logs) {
    return MakeOptionError(
        ErrorCode::kMissing, "--daemon",
        "accepted: --daemon=IP:PORT of a daemon's admin API");
  }
  if (spec->command == Command::kWhere) {
    const auto check = CheckWhereOptions(flags.where);
    if (!check.has_value())
      return check.error();
  }
  Options options;
  options.command = spec->command;
  options.argument = TakesArgument(*spec) ? positional[1] : std::string();
  options.daemon_address = flags.daemon_address;
  options.note_id = flags.note_id;
  options.logs = flags.logs;
  options.where = flags.where;
  options.output =
      flags.output == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  return options;
}

}  // namespace poplarfork::cli
