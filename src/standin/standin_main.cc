#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "standin/http_server_func.h"
#include "standin/store_server_func.h"
#include "standin/upstream_server_func.h"
#include "standin/vm_list_server_func.h"

ABSL_FLAG(std::string, role, "", "store, vm_list or upstream");
ABSL_FLAG(std::string, ip, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(std::vector<std::string>,
          ports,
          {},
          "ports to listen on, one server for each; 0 chooses a free port");
ABSL_FLAG(int,
          count,
          1,
          "number of servers on free ports, if --ports is not given");
ABSL_FLAG(std::uint64_t,
          slots,
          3,
          "upstream: number of requests that run concurrently");
ABSL_FLAG(std::uint64_t,
          queue,
          6,
          "upstream: maximum number of requests that wait for a slot");
ABSL_FLAG(std::uint64_t,
          connections,
          350,
          "upstream: maximum number of connections");
ABSL_FLAG(double,
          service_ms,
          5.0,
          "upstream: service time of a request, in milliseconds");
ABSL_FLAG(double,
          service_spread,
          0.0,
          "upstream: share by which the service time varies, 0 to 1");
ABSL_FLAG(double,
          cold_start_ms,
          0.0,
          "upstream: duration of the cold start, in milliseconds");
ABSL_FLAG(double,
          cold_factor,
          10.0,
          "upstream: factor of the service time at the start of a cold start");
ABSL_FLAG(std::uint64_t,
          seed,
          1,
          "upstream: random seed of faults and service times");

namespace poplarfork::standin {

namespace {

using boost::asio::ip::tcp;

base::Duration MillisecondsToDuration(double milliseconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

UpstreamOptions ReadUpstreamOptions(std::uint64_t index) {
  UpstreamOptions options;
  options.slots = absl::GetFlag(FLAGS_slots);
  options.max_queued_requests = absl::GetFlag(FLAGS_queue);
  options.max_connections = absl::GetFlag(FLAGS_connections);
  options.service_time =
      MillisecondsToDuration(absl::GetFlag(FLAGS_service_ms));
  options.service_spread = absl::GetFlag(FLAGS_service_spread);
  options.cold_start_time =
      MillisecondsToDuration(absl::GetFlag(FLAGS_cold_start_ms));
  options.cold_factor = absl::GetFlag(FLAGS_cold_factor);
  options.seed = absl::GetFlag(FLAGS_seed) + index;
  return options;
}

std::vector<tcp::endpoint> ReadEndpoints() {
  const auto address = boost::asio::ip::make_address(absl::GetFlag(FLAGS_ip));
  std::vector<tcp::endpoint> endpoints;
  for (const std::string& port : absl::GetFlag(FLAGS_ports)) {
    endpoints.emplace_back(address,
                           static_cast<std::uint16_t>(std::stoul(port)));
  }
  const auto count = static_cast<std::size_t>(absl::GetFlag(FLAGS_count));
  if (endpoints.empty())
    endpoints.resize(count, tcp::endpoint(address, 0));
  return endpoints;
}

void PrintListeningAddress(const HttpServer& server) {
  std::cout << "listening " << ListeningAddress(server) << std::endl;
}

using StartFunction = HttpServerPtr (*)(boost::asio::io_context& loop,
                                        const tcp::endpoint& endpoint,
                                        std::uint64_t index);

HttpServerPtr StartStoreRole(boost::asio::io_context& loop,
                             const tcp::endpoint& endpoint,
                             std::uint64_t /*index*/) {
  return StartStore(loop.get_executor(), endpoint)->server;
}

HttpServerPtr StartVmListRole(boost::asio::io_context& loop,
                              const tcp::endpoint& endpoint,
                              std::uint64_t /*index*/) {
  return StartVmList(loop.get_executor(), endpoint)->server;
}

HttpServerPtr StartUpstreamRole(boost::asio::io_context& loop,
                                const tcp::endpoint& endpoint,
                                std::uint64_t index) {
  const UpstreamOptions options = ReadUpstreamOptions(index);
  return StartUpstream(loop.get_executor(), endpoint, options)->server;
}

struct Role {
  const char* name;
  StartFunction start;
};

constexpr std::array<Role, 3> kRoles = {{
    {"store", StartStoreRole},
    {"vm_list", StartVmListRole},
    {"upstream", StartUpstreamRole},
}};

std::vector<HttpServerPtr> StartRequestedRole(boost::asio::io_context& loop) {
  std::vector<HttpServerPtr> servers;
  const auto endpoints = ReadEndpoints();
  for (const Role& role : kRoles) {
    if (absl::GetFlag(FLAGS_role) != role.name)
      continue;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
      servers.push_back(role.start(loop, endpoints[index], index));
      PrintListeningAddress(*servers.back());
    }
  }
  return servers;
}

int RunProgram() {
  boost::asio::io_context loop(1);
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](boost::system::error_code, int) { loop.stop(); });
  const std::vector<HttpServerPtr> servers = StartRequestedRole(loop);
  if (servers.empty()) {
    std::cerr << "--role must be store, vm_list or upstream" << std::endl;
    return 2;
  }
  loop.run();
  for (const HttpServerPtr& server : servers)
    StopHttpServer(*server);
  return 0;
}

}  // namespace

}  // namespace poplarfork::standin

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs stand-ins of the store, the VM list or upstreams for tests; see "
      "docs/standin.md.");
  absl::ParseCommandLine(argc, argv);
  try {
    return poplarfork::standin::RunProgram();
  } catch (const std::exception& error) {
    std::cerr << "poplarfork-standin: " << error.what() << std::endl;
    return 1;
  }
}
