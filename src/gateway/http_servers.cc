#include "gateway/http_servers.h"

#include <memory>
#include <utility>

#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/log_func.h"
#include "gateway/memory_driver.h"
#include "gateway/peer_driver.h"
#include "gateway/request_driver.h"
#include "gateway/response_func.h"
#include "gateway/where_driver.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"
#include "upstream/pool_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using edge::HttpRequest;
using edge::HttpResponse;
using ExchangePtr = std::shared_ptr<edge::Exchange>;

// Time for which callers may use the addresses in a response. Callers request
// the addresses again after this time, so a short time makes them soon stop
// using a daemon that drains or has failed. Each request costs them one round
// trip.
constexpr base::Duration kAddressTtl = std::chrono::milliseconds(500);

// Largest number of addresses in one response; callers use no more than this.
constexpr std::size_t kMaxAddresses = 64;

constexpr base::Duration kConnectionSweepInterval =
    std::chrono::milliseconds(500);

// Limit of the request bodies that one server buffers for all callers together:
// a quarter of the memory of the smallest VM in use (160 MB).
constexpr std::uint64_t kMaxBufferedBytes = 40 * 1024 * 1024;

// Limit of the caller connections of one server. The smallest VM has 4,100 file
// descriptors; the rest is left for connections to upstreams and other daemons.
constexpr std::size_t kMaxCallerConnections = 2800;

// Value of the Retry-After field, in seconds, of a request that is refused
// because the buffers are full. Responses to slow callers are sent within
// seconds.
constexpr const char* kFullBuffersRetryAfter = "1";

HttpResponse MakeTextResponse(std::string body, const char* type) {
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

std::string_view GetTarget(const HttpRequest& request) {
  return {request.target().data(), request.target().size()};
}

HttpResponse HandleReadinessRequest(Gateway& gateway,
                                    const HttpRequest& request) {
  if (!platform::IsReadinessTarget(GetTarget(request)))
    return MakeProblemResponse(http::status::not_found, "no_such_target");
  if (!IsAccepting(gateway))
    return MakeProblemResponse(http::status::service_unavailable,
                               "not_accepting");
  return MakeTextResponse("{}", "application/json");
}

HttpResponse HandleAddressRequest(Gateway& gateway,
                                  const HttpRequest& request) {
  const auto query = platform::ParseAddressQuery(GetTarget(request));
  if (!query)
    return MakeProblemResponse(http::status::not_found, "no_such_target");
  const std::vector<std::string> addresses = fleet::CallerAddresses(
      gateway.view, {query->data_centre}, kMaxAddresses, clock::Now());
  metrics::IncrementCounter(gateway.metrics, "address_questions_total");
  if (addresses.empty())
    return MakeProblemResponse(http::status::service_unavailable,
                               "no_addresses");
  return MakeTextResponse(
      platform::FormatAddressList(
          addresses, std::min(kAddressTtl, gateway.settings.address_ttl_limit)),
      "application/json");
}

HttpResponse HandleControlRequest(Gateway& gateway,
                                  const HttpRequest& request) {
  const std::string_view target = GetTarget(request);
  if (target == kMetricsTarget) {
    UpdateMemoryMetrics(gateway);
    return MakeTextResponse(metrics::FormatPrometheus(gateway.metrics),
                            "text/plain");
  }
  if (target == kConfigurationTarget && !gateway.configuration_text.empty())
    return MakeTextResponse(gateway.configuration_text, "application/json");
  if (target.substr(0, target.find('?')) == kWhereTarget)
    return HandleWhereRequest(gateway, request);
  return MakeProblemResponse(http::status::not_found, "no_such_target");
}

using ImmediateHandler = HttpResponse (*)(Gateway&, const HttpRequest&);

// Returns handlers of a server whose responses are available at once.
edge::Handlers MakeImmediateHandlers(Gateway& gateway,
                                     ImmediateHandler handler) {
  edge::Handlers handlers;
  handlers.on_request = [&gateway, handler](const ExchangePtr& caller_exchange,
                                            const HttpRequest& request) {
    caller_exchange->Respond(handler(gateway, request));
  };
  handlers.on_caller_disconnected = [](const ExchangePtr& caller_exchange) {
    caller_exchange->Abort();
  };
  handlers.on_rejected = [](const std::string&,
                            const edge::Rejection& rejection) {
    return MakeProblemResponse(rejection.status, rejection.reason.c_str());
  };
  return handlers;
}

// Returns handlers of the server for callers, whose requests are sent to
// upstreams.
edge::Handlers MakeFrontHandlers(Gateway& gateway) {
  edge::Handlers handlers;
  handlers.on_request = [&gateway](const ExchangePtr& caller_exchange,
                                   HttpRequest request) {
    OnCallerRequest(gateway, caller_exchange, std::move(request));
  };
  handlers.may_overlap = [&gateway](const HttpRequest& request) {
    return MayOverlap(gateway, request);
  };
  handlers.on_caller_disconnected =
      [&gateway](const ExchangePtr& caller_exchange) {
        OnCallerDisconnected(gateway, *caller_exchange);
        caller_exchange->Abort();
      };
  handlers.on_rejected = [&gateway](const std::string& caller,
                                    const edge::Rejection& rejection) {
    Log(gateway, "input_rejected",
        {{"caller", caller},
         {"status", static_cast<unsigned>(rejection.status)},
         {"reason", rejection.reason}});
    metrics::IncrementCounter(
        gateway.metrics,
        "input_rejected_total{reason=\"" + rejection.reason + "\"}");
    HttpResponse response =
        MakeProblemResponse(rejection.status, rejection.reason.c_str());
    if (rejection.status == http::status::service_unavailable)
      response.set(http::field::retry_after, kFullBuffersRetryAfter);
    return response;
  };
  return handlers;
}

}  // namespace

base::Result<void> StartHttpServers(Gateway& gateway) {
  edge::Limits limits;
  limits.max_buffered_bytes = kMaxBufferedBytes;
  limits.max_connections = kMaxCallerConnections;
  edge::Limits front_limits = limits;
  front_limits.pipeline_limit =
      static_cast<std::size_t>(gateway.settings.pipeline_limit);
  gateway.front_server = std::make_shared<edge::Server>(
      gateway.loop, front_limits, MakeFrontHandlers(gateway));
  gateway.front_server->SetMemoryCounter(gateway.memory);
  ApplyMemoryLimit(gateway);
  gateway.readiness_server = std::make_shared<edge::Server>(
      gateway.loop, limits,
      MakeImmediateHandlers(gateway, HandleReadinessRequest));
  gateway.directory_server = std::make_shared<edge::Server>(
      gateway.loop, limits,
      MakeImmediateHandlers(gateway, HandleAddressRequest));
  gateway.control_server = std::make_shared<edge::Server>(
      gateway.loop, limits,
      MakeImmediateHandlers(gateway, HandleControlRequest));
  const std::pair<edge::Server*, std::string*> listeners[] = {
      {gateway.front_server.get(), &gateway.settings.front_address},
      {gateway.readiness_server.get(), &gateway.settings.ready_address},
      {gateway.directory_server.get(), &gateway.settings.directory_address},
      {gateway.control_server.get(), &gateway.settings.control_address},
  };
  for (const auto& [server, address] : listeners) {
    const auto bound_address = server->Listen(*address);
    if (!bound_address)
      return bound_address.error();
    *address = bound_address.value();
  }
  return boost::outcome_v2::success();
}

void StartConnectionSweeps(Gateway& gateway) {
  gateway.connection_sweep_timer.expires_after(kConnectionSweepInterval);
  gateway.connection_sweep_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        const base::TimePoint now = clock::Now();
        gateway.front_server->CloseExpiredSessions(now);
        HasMemoryForRequest(gateway);
        gateway.readiness_server->CloseExpiredSessions(now);
        gateway.directory_server->CloseExpiredSessions(now);
        gateway.control_server->CloseExpiredSessions(now);
        upstream::CloseExpiredConnections(gateway.upstream_pool, now);
        upstream::CloseExpiredConnections(gateway.control_pool, now);
        StartConnectionSweeps(gateway);
      });
}

}  // namespace poplarfork::gateway
