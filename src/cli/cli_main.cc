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

ABSL_FLAG(std::string,
          gateway,
          "",
          "where: IP:port of a gateway's control address");
ABSL_FLAG(std::string, method, "", "where: method of the request");
ABSL_FLAG(std::string, path, "", "where: path of the request");
ABSL_FLAG(std::string, host, "", "where: host name of the request");
ABSL_FLAG(std::string, account, "", "where: name of the client account");

namespace {

int ToProcessExitCode(poplarfork::cli::ExitCode code) {
  return static_cast<int>(code);
}

int ReportUsageError(const poplarfork::base::Error& error) {
  std::cerr << poplarfork::base::ToString(error) << "\n"
            << poplarfork::cli::UsageText();
  return ToProcessExitCode(poplarfork::cli::ExitCode::kUsageError);
}

}  // namespace

int main(int argc, char** argv) {
  namespace cli = poplarfork::cli;
  const auto flag_check =
      cli::CheckFlags(std::vector<std::string>(argv + 1, argv + argc));
  if (!flag_check.has_value())
    return ReportUsageError(flag_check.error());
  absl::SetProgramUsageMessage(cli::UsageText());
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const cli::FlagValues flags{
      absl::GetFlag(FLAGS_daemon),
      absl::GetFlag(FLAGS_note_id),
      absl::GetFlag(FLAGS_output),
      absl::GetFlag(FLAGS_logs),
      {absl::GetFlag(FLAGS_gateway), absl::GetFlag(FLAGS_method),
       absl::GetFlag(FLAGS_path), absl::GetFlag(FLAGS_host),
       absl::GetFlag(FLAGS_account)}};
  const auto options = cli::ParseOptions(
      std::vector<std::string>(positional.begin() + 1, positional.end()),
      flags);
  if (!options.has_value())
    return ReportUsageError(options.error());
  const cli::CommandResult result =
      cli::RunCommand(options.value(), cli::MakeEnvironment());
  std::cout << result.standard_output;
  std::cerr << result.standard_error;
  return ToProcessExitCode(result.exit_code);
}
