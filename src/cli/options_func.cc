#include "cli/options_func.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "base/error_func.h"

namespace poplarfork::cli {

namespace {

using base::ErrorCode;

// The syntax of a command and its line in the usage text.
struct CommandRow {
  const char* name;
  Command command;
  // The placeholder of the argument in the usage text. It is empty if the
  // command takes no argument.
  const char* argument;
  bool needs_daemon;
  const char* summary;
};

constexpr std::array<CommandRow, 6> kCommands = {{
    {"check", Command::kCheck, "FILE", false,
     "checks a release note without sending it"},
    {"diff", Command::kDiff, "FILE", true,
     "shows what a release note changes in the daemon's configuration"},
    {"publish", Command::kPublish, "FILE", true, "publishes a release note"},
    {"status", Command::kStatus, "", true, "shows the state of the daemon"},
    {"explain", Command::kExplain, "REQUEST_ID", true,
     "shows why a request was handled as it was"},
    {"history", Command::kHistory, "", true, "lists the newest revisions"},
}};

constexpr std::array<std::string_view, 5> kFlags = {
    "--daemon", "--note_id", "--output", "--logs", "--help"};
constexpr std::string_view kHelpFlag = "--help";

base::Error Fail(ErrorCode code, std::string peer, std::string detail) {
  return base::MakeError(code, base::Step::kCommandLine, std::move(peer),
                         std::move(detail));
}

const CommandRow* FindCommand(const std::string& name) {
  for (const CommandRow& row : kCommands) {
    if (name == row.name)
      return &row;
  }
  return nullptr;
}

std::string CommandNames() {
  std::string names;
  for (const CommandRow& row : kCommands) {
    if (!names.empty())
      names += ", ";
    names += row.name;
  }
  return names;
}

bool NeedsArgument(const CommandRow& row) {
  return row.argument[0] != '\0';
}

}  // namespace

std::string Usage() {
  std::string text =
      "poplarfork COMMAND [ARGUMENT] [--daemon=IP:PORT] [--note_id=ID] "
      "[--output=table|json] [--logs=FILE,...]\n\n";
  for (const CommandRow& row : kCommands) {
    std::string head = std::string("  ") + row.name + " " + row.argument;
    head.resize(std::max<std::size_t>(head.size(), 22), ' ');
    text += head + row.summary + "\n";
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
    if (std::ranges::find(kFlags, name) == kFlags.end()) {
      return Fail(ErrorCode::kUnknownKey, name,
                  "accepted: --daemon, --note_id, --output, --logs");
    }
    const bool has_value = argument.size() > name.size();
    if (has_value || name == kHelpFlag)
      continue;
    // The flag has no "=VALUE", so the next argument is its value.
    ++i;
    if (i == arguments.size())
      return Fail(ErrorCode::kMissing, name, "accepted: " + name + "=VALUE");
  }
  return boost::outcome_v2::success();
}

base::Result<Options> ReadOptions(const std::vector<std::string>& positional,
                                  const FlagValues& flags) {
  if (positional.empty())
    return Fail(ErrorCode::kMissing, "command", "accepted: " + CommandNames());
  const std::string& name = positional.front();
  const CommandRow* row = FindCommand(name);
  if (row == nullptr)
    return Fail(ErrorCode::kUnknownKey, name, "accepted: " + CommandNames());
  const std::size_t expected = NeedsArgument(*row) ? 2 : 1;
  if (positional.size() != expected) {
    return Fail(ErrorCode::kMissing, name,
                "accepted: poplarfork " + name + " " + row->argument);
  }
  if (flags.output != "table" && flags.output != "json") {
    return Fail(ErrorCode::kOutOfRange, "--output",
                "'" + flags.output + "'; accepted: table or json");
  }
  const bool reads_logs =
      row->command == Command::kExplain && !flags.logs.empty();
  if (row->needs_daemon && flags.daemon.empty() && !reads_logs) {
    return Fail(ErrorCode::kMissing, "--daemon",
                "accepted: --daemon=IP:PORT of a daemon's admin API");
  }
  Options options;
  options.command = row->command;
  options.argument = NeedsArgument(*row) ? positional[1] : std::string();
  options.daemon = flags.daemon;
  options.note_id = flags.note_id;
  options.logs = flags.logs;
  options.output =
      flags.output == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  return options;
}

}  // namespace poplarfork::cli
