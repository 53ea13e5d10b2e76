#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <pplx/threadpool.h>
#include <sodium.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include "base/error_func.h"
#include "daemon/shutdown_func.h"
#include "daemon/startup_func.h"
#include "settings/settings_func.h"

ABSL_FLAG(std::string, settings, "", "path of the YAML settings file");

namespace {

using poplarfork::daemon::Daemon;

constexpr int kExitUsageError = 2;

// Waits for SIGTERM and SIGINT. The first signal starts a graceful shutdown,
// the second one ends the process at once.
void WatchSignals(boost::asio::signal_set& signals, Daemon& daemon) {
  signals.async_wait([&signals, &daemon](const auto& error, int) {
    if (error)
      return;
    poplarfork::daemon::OnTerminationSignal(daemon);
    WatchSignals(signals, daemon);
  });
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("poplarforkd --settings=FILE");
  absl::ParseCommandLine(argc, argv);
  const auto settings =
      poplarfork::settings::LoadSettings(absl::GetFlag(FLAGS_settings));
  if (!settings.has_value()) {
    std::cerr << poplarfork::base::ToString(settings.error()) << "\n";
    return kExitUsageError;
  }
  if (sodium_init() < 0)
    return EXIT_FAILURE;
  // The whole daemon runs on the event loop of cpprestsdk's thread pool, which
  // gets a single thread.
  crossplat::threadpool::initialize_with_threads(1);
  auto& loop = crossplat::threadpool::shared_instance().service();
  std::promise<std::unique_ptr<Daemon>> daemon_promise;
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  boost::asio::post(loop, [&] {
    auto daemon = poplarfork::daemon::StartDaemon(loop, settings.value());
    if (!daemon.has_value()) {
      std::cerr << poplarfork::base::ToString(daemon.error()) << "\n";
      daemon_promise.set_value(nullptr);
      return;
    }
    WatchSignals(signals, *daemon.value());
    daemon_promise.set_value(std::move(daemon.value()));
  });
  const std::unique_ptr<Daemon> daemon = daemon_promise.get_future().get();
  if (!daemon)
    return EXIT_FAILURE;
  daemon->finished.get_future().wait();
  std::cout.flush();
  // _Exit skips the destructors, because the loop's thread may still run
  // handlers that refer to the daemon.
  std::_Exit(EXIT_SUCCESS);
}
