#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>

#include "soak/caller_func.h"
#include "soak/crash_check_func.h"
#include "soak/fleet_func.h"
#include "soak/trouble_func.h"

ABSL_FLAG(std::string,
          gateway,
          "",
          "the poplarfork-gateway program; the default is the one beside this "
          "program");
ABSL_FLAG(std::string,
          folder,
          "",
          "folder for settings and logs; the default is a new one");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all that is drawn");
ABSL_FLAG(double, seconds, 15, "duration of the run");
ABSL_FLAG(std::uint32_t, gateways, 6, "number of gateway processes");
ABSL_FLAG(std::uint32_t, upstreams, 9, "number of upstreams");
ABSL_FLAG(double, rate, 60, "requests of callers per second");
ABSL_FLAG(double, troubles, 0.4, "troubles per second; 0 for none");
ABSL_FLAG(
    std::vector<std::string>,
    only,
    {},
    "names of the troubles to draw from, as in docs/soak.md; all if empty");
ABSL_FLAG(bool,
          silence_at_changes,
          false,
          "connections to the store go silent at every change");

ABSL_FLAG(
    bool,
    crashing_requests,
    false,
    "a look-up that crashes the upstreams that run it comes every second");

namespace poplarfork::soak {

namespace {

// Time for the gateways to start before the first change and trouble.
constexpr base::Duration kWarmUpTime = std::chrono::seconds(3);

constexpr std::uint32_t kMaxGateways = 200;

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "poplarfork-soak-XXXXXX")
          .string();
  if (::mkdtemp(pattern.data()) == nullptr)
    throw std::filesystem::filesystem_error(
        pattern, std::error_code(errno, std::generic_category()));
  return pattern;
}

Options ReadOptions(const char* program) {
  Options options;
  options.gateway_program = absl::GetFlag(FLAGS_gateway);
  if (options.gateway_program.empty())
    options.gateway_program =
        (std::filesystem::path(program).parent_path() / "poplarfork-gateway")
            .string();
  options.folder = absl::GetFlag(FLAGS_folder);
  if (options.folder.empty())
    options.folder = MakeFolder();
  std::filesystem::create_directories(options.folder);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.duration = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds)));
  options.gateway_count =
      std::clamp(absl::GetFlag(FLAGS_gateways), 1U, kMaxGateways);
  options.upstream_count = std::max(absl::GetFlag(FLAGS_upstreams), 1U);
  options.request_rate = std::max(absl::GetFlag(FLAGS_rate), 0.1);
  options.trouble_rate = absl::GetFlag(FLAGS_troubles);
  options.trouble_names = absl::GetFlag(FLAGS_only);
  options.sends_crashing_requests = absl::GetFlag(FLAGS_crashing_requests);
  options.silences_at_changes = absl::GetFlag(FLAGS_silence_at_changes);
  return options;
}

void PrintSummary(const Fleet& fleet) {
  std::cout << "seed " << fleet.options.seed << ", logs in "
            << fleet.options.folder << "\ntroubles:";
  for (const auto& [name, count] : fleet.troubles)
    std::cout << ' ' << name << ' ' << count;
  std::cout << "\nrequests: sent " << fleet.callers.sent << ", served "
            << fleet.callers.served << ", refused " << fleet.callers.refused
            << ", unanswered " << fleet.callers.unanswered
            << "\nconfigurations: " << fleet.version << ", in force after "
            << fleet.check.longest_delay / std::chrono::milliseconds(1)
            << " ms at the latest\n";
  for (const std::string& violation : fleet.check.violations)
    std::cout << "BROKEN " << violation << '\n';
  for (const std::string& violation : fleet.violations)
    std::cout << "BROKEN " << violation << '\n';
  std::cout << "violations: "
            << fleet.check.violations.size() + fleet.violations.size()
            << std::endl;
}

// Returns whether everything that was checked has held.
bool RunSoak(const Options& options) {
  boost::asio::io_context loop(1);
  Fleet fleet(loop);
  fleet.options = options;
  StartFleet(fleet);
  RunAfter(fleet, kWarmUpTime, [&fleet] {
    StartCallers(fleet);
    StartConfigurationChanges(fleet);
    StartTroubles(fleet);
    if (fleet.options.sends_crashing_requests)
      StartCrashingRequests(fleet);
  });
  RunAfter(fleet, kWarmUpTime + options.duration, [&fleet] {
    fleet.is_ending = true;
    fleet.loop.stop();
  });
  try {
    loop.run();
  } catch (...) {
    StopFleet(fleet);
    throw;
  }
  StopFleet(fleet);
  CheckRuns(fleet);
  if (options.sends_crashing_requests)
    CheckCrashes(fleet);
  if (fleet.callers.unanswered > 0)
    fleet.violations.push_back(std::to_string(fleet.callers.unanswered) +
                               " requests without an answer");
  if (fleet.callers.served < fleet.callers.sent / 2)
    fleet.violations.emplace_back("fewer than half of the requests served");
  PrintSummary(fleet);
  return fleet.violations.empty() && fleet.check.violations.empty();
}

}  // namespace

}  // namespace poplarfork::soak

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "poplarfork-soak: disturbs gateways that run as processes of their own "
      "and checks what callers and upstreams see");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return poplarfork::soak::RunSoak(poplarfork::soak::ReadOptions(argv[0]))
               ? 0
               : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
