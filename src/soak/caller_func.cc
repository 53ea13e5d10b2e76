#include "soak/caller_func.h"

#include <map>
#include <memory>
#include <utility>

#include "base/rng_func.h"
#include "base/time_func.h"
#include "clock/now_func.h"
#include "soak/configuration_check_func.h"
#include "soak/fleet_func.h"
#include "soak/gateway_process_func.h"
#include "standin/platform_caller_func.h"
#include "upstream/whole_call.h"

namespace poplarfork::soak {

namespace {

namespace http = boost::beast::http;
using ResponseHandler =
    std::function<void(const upstream::BufferedResponse& response)>;

constexpr base::Duration kProbeInterval = std::chrono::milliseconds(40);
constexpr base::Duration kDeadline = std::chrono::milliseconds(4000);
constexpr std::size_t kMaxBodyBytes = 100'000;
constexpr const char* kOrderIdPrefix = "order-";

std::string SendRequest(Fleet& fleet,
                        std::uint32_t gateway,
                        bool is_order,
                        const std::string& target,
                        const ResponseHandler& on_response) {
  std::string id = (is_order ? kOrderIdPrefix : "look-") +
                   std::to_string(fleet.next_request++);
  auto request = std::make_shared<upstream::HttpRequest>(
      is_order ? http::verb::post : http::verb::get, target, 11);
  request->set(http::field::host, kSoakHost);
  standin::SetCallerFields(*request, id, kDeadline);
  if (is_order)
    request->body() = id;
  request->prepare_payload();
  upstream::CallOptions options;
  options.address = FrontAddress(fleet.gateways[gateway]);
  options.timeout = kDeadline + std::chrono::seconds(1);
  options.max_body_bytes = kMaxBodyBytes;
  upstream::StartCall(fleet.loop, fleet.caller_pool, options,
                      std::move(request), on_response);
  return id;
}

unsigned StatusOf(const upstream::BufferedResponse& response) {
  return response.IsComplete() ? response.header.result_int() : 0;
}

void OnCallerResponse(Fleet& fleet,
                      std::uint32_t index,
                      base::TimePoint sent_at,
                      const upstream::BufferedResponse& response) {
  const unsigned status = StatusOf(response);
  fleet.callers.served += status == 200 ? 1 : 0;
  fleet.callers.refused += status == 503 ? 1 : 0;
  if (status != 0 || fleet.is_ending ||
      response.end.progress == upstream::Progress::kNotConnected)
    return;
  // A planned stop excuses nothing; a kill or a pause does.
  const GatewayProcess& gateway = fleet.gateways[index];
  const base::TimePoint disturbed_until =
      fleet.check.gateways[index].disturbed_until;
  if (!gateway.is_terminating && sent_at < disturbed_until + kExcuseTime)
    return;
  ++fleet.callers.unanswered;
  WriteRecord(fleet, "no answer from " + gateway.name + ": " +
                         response.end.error.message());
}

void SendCallerRequests(Fleet& fleet) {
  const auto gateway = static_cast<std::uint32_t>(
      base::UniformBelow(fleet.rng, fleet.gateways.size()));
  const bool is_order = base::UniformBelow(fleet.rng, 2) == 0;
  if (fleet.gateways[gateway].pid != 0) {
    ++fleet.callers.sent;
    SendRequest(fleet, gateway, is_order, is_order ? "/order/1" : "/look/1",
                [&fleet, gateway, sent_at = clock::Now()](
                    const upstream::BufferedResponse& response) {
                  OnCallerResponse(fleet, gateway, sent_at, response);
                });
  }
  const double interval_s =
      2 * base::Uniform01(fleet.rng) / fleet.options.request_rate;
  RunAfter(fleet, base::Scale(std::chrono::seconds(1), interval_s),
           [&fleet] { SendCallerRequests(fleet); });
}

void SendProbes(Fleet& fleet, std::uint32_t gateway) {
  if (fleet.gateways[gateway].pid != 0) {
    const Probe probe{gateway, fleet.version, clock::Now()};
    SendRequest(fleet, gateway, false, VersionPrefix(probe.version) + "1",
                [&fleet, probe, starts = fleet.gateways[gateway].starts](
                    const upstream::BufferedResponse& response) {
                  if (fleet.gateways[probe.gateway].starts == starts)
                    RecordProbeResult(fleet.check, probe, StatusOf(response),
                                      clock::Now());
                });
  }
  RunAfter(fleet, kProbeInterval,
           [&fleet, gateway] { SendProbes(fleet, gateway); });
}

}  // namespace

void StartCallers(Fleet& fleet) {
  SendCallerRequests(fleet);
  for (std::uint32_t gateway = 0; gateway < fleet.gateways.size(); ++gateway)
    SendProbes(fleet, gateway);
}

std::string SendLookUp(Fleet& fleet,
                       std::uint32_t gateway,
                       const std::string& target) {
  return SendRequest(fleet, gateway, false, target,
                     [](const upstream::BufferedResponse&) {});
}

void CheckRuns(Fleet& fleet) {
  std::map<std::string, int> runs;
  for (const auto& upstream : fleet.upstreams) {
    for (const auto& [id, count] : upstream->run_counts) {
      if (id.starts_with(kOrderIdPrefix))
        runs[id] += count;
    }
  }
  for (const auto& [id, count] : runs) {
    if (count > 1)
      fleet.violations.push_back(id + " ran " + std::to_string(count) +
                                 " times");
  }
}

}  // namespace poplarfork::soak
