#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "base/error_func.h"
#include "gateway/settings_driver.h"
#include "gateway/shutdown.h"
#include "gateway/startup.h"
#include "logging/buffered_output_func.h"

ABSL_FLAG(
    std::string,
    settings,
    "",
    "settings file; the default is the file named by the environment variable "
    "POPLARFORK_CONFIG");
ABSL_FLAG(
    std::uint64_t,
    random_seed,
    0,
    "seed of the random number generator; 0 takes a seed from the operating "
    "system");

namespace poplarfork::gateway {
namespace {

// Exit code if the settings are invalid or an address cannot be bound.
constexpr int kExitUsageError = 2;

void ExitWithError(const base::Error& error) {
  std::cerr << base::ToString(error) << '\n';
  std::exit(kExitUsageError);
}

std::string GetSettingsPath() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (!path.empty())
    return path;
  const char* environment_path = std::getenv("POPLARFORK_CONFIG");
  return environment_path ? environment_path : "";
}

// Handles SIGHUP by reloading the settings, and SIGTERM and SIGINT by draining.
void WaitForSignals(Gateway& gateway, boost::asio::signal_set& signals) {
  signals.async_wait(
      [&gateway, &signals](const boost::system::error_code& error,
                           int signal_number) {
        if (error)
          return;
        if (signal_number == SIGHUP)
          ReloadSettings(gateway, "SIGHUP");
        else
          StartDrain(gateway);
        WaitForSignals(gateway, signals);
      });
}

std::uint64_t ChooseSeed() {
  const std::uint64_t seed = absl::GetFlag(FLAGS_random_seed);
  if (seed != 0)
    return seed;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

int RunGateway() {
  boost::asio::io_context loop(1);
  Gateway gateway(loop);
  const auto loaded = LoadSettings(gateway, GetSettingsPath());
  if (!loaded)
    ExitWithError(loaded.error());
  logging::StartBufferedOutput(gateway.settings.name);
  const std::uint64_t seed = ChooseSeed();
  const auto started = StartGateway(gateway, seed);
  if (!started)
    ExitWithError(started.error());
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  WaitForSignals(gateway, signals);
  std::signal(SIGPIPE, SIG_IGN);
  WatchSettings(gateway);
  loop.run();
  logging::FlushOutputAtExit();
  return 0;
}

}  // namespace
}  // namespace poplarfork::gateway

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "poplarfork-gateway: one gateway of a proxy fleet that learns its "
      "upstreams from a shared store");
  absl::ParseCommandLine(argc, argv);
  return poplarfork::gateway::RunGateway();
}
