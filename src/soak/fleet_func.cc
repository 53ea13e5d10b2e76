#include "soak/fleet_func.h"

#include <unistd.h>

#include <csignal>
#include <iomanip>
#include <iostream>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "clock/now_func.h"
#include "soak/configuration_check_func.h"
#include "soak/gateway_process_func.h"
#include "standin/http_server_func.h"
#include "standin/platform_operator_func.h"
#include "standin/platform_store_func.h"
#include "standin/platform_upstream_func.h"

namespace poplarfork::soak {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kHeartbeat = milliseconds(1500);
constexpr base::Duration kSupervisionInterval = milliseconds(20);
constexpr base::Duration kRestartDelay = milliseconds(300);
constexpr base::Duration kServiceTime = milliseconds(60);
constexpr std::uint64_t kKeptVersions = 40;

const boost::asio::ip::tcp::endpoint kFreePortEndpoint(
    boost::asio::ip::make_address("127.0.0.1"),
    0);

// Connections come from 127.0.0.1, so none takes the port of an upstream that
// is down for a while.
const boost::asio::ip::tcp::endpoint kUpstreamEndpoint(
    boost::asio::ip::make_address("127.0.0.2"),
    0);

void SendHeartbeats(Fleet& fleet, std::size_t next) {
  const std::size_t index = next % fleet.upstreams.size();
  if (!fleet.upstreams[index]->has_crashed)
    WriteEntry(fleet, *fleet.upstreams[index]);
  RunAfter(fleet,
           kHeartbeat / static_cast<std::int64_t>(fleet.upstreams.size()),
           [&fleet, index] { SendHeartbeats(fleet, index + 1); });
}

void Supervise(Fleet& fleet) {
  for (std::uint32_t i = 0; i < fleet.gateways.size(); ++i) {
    GatewayProcess& gateway = fleet.gateways[i];
    int exit_status = 0;
    if (!HasEnded(gateway, exit_status))
      continue;
    WriteRecord(fleet, gateway.name + " has ended with status " +
                           std::to_string(exit_status));
    const bool was_killed =
        WIFSIGNALED(exit_status) && WTERMSIG(exit_status) == SIGKILL;
    if (exit_status != 0 && !was_killed)
      fleet.violations.push_back(gateway.name + " ended with status " +
                                 std::to_string(exit_status));
    RecordNewProcess(fleet.check, i, clock::Now());
    RunAfter(fleet, kRestartDelay,
             [&fleet, i] { StartGatewayProcess(fleet, i); });
  }
  RunAfter(fleet, kSupervisionInterval, [&fleet] { Supervise(fleet); });
}

// Returns an IP address of the loopback range that concurrent runs do not use.
std::string MakeIp(std::uint32_t gateway) {
  const auto process = static_cast<std::uint32_t>(::getpid());
  return "127." + std::to_string(1 + process % 250) + "." +
         std::to_string(1 + process / 250 % 250) + "." +
         std::to_string(gateway + 1);
}

void AddGateway(Fleet& fleet, std::uint32_t index) {
  const auto listener =
      standin::AddPlatformStoreListener(fleet.store, kFreePortEndpoint);
  fleet.store_listeners.push_back(listener);
  GatewayProcess gateway;
  gateway.name = "gateway-" + std::to_string(index);
  gateway.ip = MakeIp(index);
  gateway.store_address = standin::ListeningAddress(*listener);
  gateway.settings_path = fleet.options.folder + "/" + gateway.name + ".yaml";
  gateway.log_path = fleet.options.folder + "/" + gateway.name + ".log";
  fleet.gateways.push_back(gateway);
}

}  // namespace

void WriteEntry(Fleet& fleet, const standin::PlatformUpstream& upstream) {
  standin::PutPlatformItem(*fleet.store, "servers/" + upstream.instance_id,
                           standin::MakePlatformUpstreamEntry(
                               upstream, "s", "ready", ++fleet.entry_sequence));
}

std::string VersionPrefix(std::uint64_t version) {
  return "/v" + std::to_string(version) + "/";
}

void WriteRecord(const Fleet& fleet, const std::string& text) {
  const std::chrono::duration<double> elapsed = clock::Now() - fleet.started_at;
  std::cout << std::fixed << std::setprecision(3) << std::setw(8)
            << elapsed.count() << ' ' << text << std::endl;
}

void RunAfter(Fleet& fleet,
              base::Duration delay,
              std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(fleet.loop);
  timer->expires_after(delay);
  timer->async_wait([&fleet, timer, action = std::move(action)](
                        const boost::system::error_code& error) {
    if (!error && !fleet.is_ending)
      action();
  });
}

void WriteConfiguration(Fleet& fleet) {
  const std::uint64_t version = fleet.version;
  std::vector<standin::PlatformRoute> routes = {{"look", "/look/", true},
                                                {"order", "/order/", false}};
  const std::uint64_t first =
      version > kKeptVersions ? version - kKeptVersions : 1;
  for (std::uint64_t kept = first; kept <= version; ++kept)
    routes.push_back({"v" + std::to_string(kept), VersionPrefix(kept), true});
  standin::PutPlatformConfiguration(*fleet.store, version, kSoakHost, routes);
}

void WriteNextConfiguration(Fleet& fleet) {
  ++fleet.version;
  WriteConfiguration(fleet);
  RecordAcknowledgement(fleet.check, fleet.version, clock::Now());
  WriteRecord(fleet,
              "version " + std::to_string(fleet.version) + " acknowledged");
}

void StartGatewayProcess(Fleet& fleet, std::uint32_t gateway) {
  StartProcess(fleet.gateways.at(gateway), fleet.options.gateway_program);
  RecordNewProcess(fleet.check, gateway, clock::Now());
}

void StartSupervision(Fleet& fleet) {
  Supervise(fleet);
  SendHeartbeats(fleet, 0);
}

void StartFleet(Fleet& fleet) {
  fleet.started_at = clock::Now();
  fleet.rng.seed(fleet.options.seed);
  fleet.store =
      standin::StartPlatformStore(fleet.loop.get_executor(), kFreePortEndpoint);
  for (std::uint32_t i = 0; i < fleet.options.upstream_count; ++i) {
    fleet.upstreams.push_back(standin::StartPlatformUpstream(
        fleet.loop.get_executor(), kUpstreamEndpoint, "u" + std::to_string(i),
        kServiceTime));
    WriteEntry(fleet, *fleet.upstreams.back());
  }
  WriteNextConfiguration(fleet);
  std::vector<std::string> seeds;
  for (std::uint32_t i = 0; i < fleet.options.gateway_count; ++i) {
    AddGateway(fleet, i);
    if (i < 3)
      seeds.push_back(fleet.gateways.back().ip);
  }
  fleet.check.gateways.resize(fleet.gateways.size());
  for (std::uint32_t i = 0; i < fleet.gateways.size(); ++i) {
    WriteSettings(fleet.gateways[i], seeds);
    StartGatewayProcess(fleet, i);
  }
  StartSupervision(fleet);
}

void StopFleet(Fleet& fleet) {
  fleet.is_ending = true;
  for (GatewayProcess& gateway : fleet.gateways)
    KillProcess(gateway);
  for (const auto& listener : fleet.store_listeners)
    standin::StopHttpServer(*listener);
  standin::StopPlatformStore(*fleet.store);
  for (const auto& upstream : fleet.upstreams)
    standin::StopHttpServer(*upstream->server);
}

}  // namespace poplarfork::soak
