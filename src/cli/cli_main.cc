#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

#include "base/error_func.h"
#include "cli/command_func.h"
#include "cli/environment_func.h"
#include "cli/options_func.h"

ABSL_FLAG(std::string, daemon, "", "IP:port of a daemon's admin API");
ABSL_FLAG(std::string,
          note_id,
          "",
          "id of the release note; generated if neither given nor in the note");
ABSL_FLAG(std::string, output, "table", "output format: table or json");
ABSL_FLAG(std::vector<std::string>,
          logs,
          {},
          "explain: log files of gateways that are read instead of asking a "
          "daemon");

namespace {

int Exit(poplarfork::cli::ExitCode code) {
  return static_cast<int>(code);
}

int FailUsage(const poplarfork::base::Error& error) {
  std::cerr << poplarfork::base::ToString(error) << "\n"
            << poplarfork::cli::Usage();
  return Exit(poplarfork::cli::ExitCode::kUsage);
}

}  // namespace

int main(int argc, char** argv) {
  namespace cli = poplarfork::cli;
  const auto checked =
      cli::CheckFlags(std::vector<std::string>(argv + 1, argv + argc));
  if (!checked.has_value())
    return FailUsage(checked.error());
  absl::SetProgramUsageMessage(cli::Usage());
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  const cli::FlagValues flags{
      absl::GetFlag(FLAGS_daemon), absl::GetFlag(FLAGS_note_id),
      absl::GetFlag(FLAGS_output), absl::GetFlag(FLAGS_logs)};
  const auto options = cli::ReadOptions(
      std::vector<std::string>(rest.begin() + 1, rest.end()), flags);
  if (!options.has_value())
    return FailUsage(options.error());
  const cli::Report report =
      cli::RunCommand(options.value(), cli::MakeEnvironment());
  std::cout << report.standard_output;
  std::cerr << report.standard_error;
  return Exit(report.exit_code);
}
