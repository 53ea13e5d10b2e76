#include "daemon/admin_func.h"

#include <sodium.h>

#include <array>
#include <string>
#include <string_view>

#include "clock/now_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/http_response_func.h"
#include "daemon/release_driver_func.h"
#include "daemon/shutdown_func.h"
#include "daemon/status_func.h"
#include "metrics/registry_func.h"
#include "note/configuration_codec_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

using ResourceHandler = edge::HttpResponse (*)(Daemon& daemon,
                                               std::string_view resource_name);

// One resource of the administration API. A path that ends in '/' is a prefix:
// the rest of the request's path names one item.
struct Resource {
  std::string_view path;
  ResourceHandler make_response;
};

edge::HttpResponse MakeHealthResponse(Daemon& daemon, std::string_view) {
  const bool is_serving = daemon.ready && !IsDraining(daemon);
  const auto status =
      is_serving ? http::status::ok : http::status::service_unavailable;
  return MakeTextResponse(status, is_serving ? "ready\n" : "not ready\n");
}

edge::HttpResponse MakeMetricsResponse(Daemon& daemon, std::string_view) {
  UpdateGauges(daemon);
  return MakeTextResponse(http::status::ok,
                          metrics::FormatPrometheus(daemon.metrics));
}

edge::HttpResponse MakeStatusResponse(Daemon& daemon, std::string_view) {
  return MakeJsonResponse(http::status::ok,
                          MakeStatusReport(daemon, clock::Now()));
}

edge::HttpResponse MakeConfigurationResponse(Daemon& daemon, std::string_view) {
  if (!daemon.configuration)
    return MakeTextResponse(http::status::service_unavailable,
                            "no configuration is in force yet\n");
  auto response = MakeTextResponse(
      http::status::ok, note::ConfigurationToJson(*daemon.configuration));
  response.set(http::field::content_type, "application/json");
  return response;
}

edge::HttpResponse MakeHistoryResponse(Daemon& daemon, std::string_view) {
  return MakeJsonResponse(http::status::ok, MakeReleaseHistory(daemon));
}

edge::HttpResponse MakeExplainResponse(Daemon& daemon,
                                       std::string_view request_id) {
  const std::string lines =
      FindRequestLines(daemon.decision_log, std::string(request_id));
  if (lines.empty())
    return MakeTextResponse(
        http::status::not_found,
        "this daemon has not handled the request or no longer keeps "
        "its log lines\n");
  return MakeTextResponse(http::status::ok, lines);
}

constexpr std::array kResources = {
    Resource{"/healthz", MakeHealthResponse},
    Resource{"/metrics", MakeMetricsResponse},
    Resource{"/admin/v1/status", MakeStatusResponse},
    Resource{"/admin/v1/configuration", MakeConfigurationResponse},
    Resource{"/admin/v1/history", MakeHistoryResponse},
    Resource{"/admin/v1/explain/", MakeExplainResponse},
};

const Resource* FindResource(std::string_view path) {
  for (const Resource& resource : kResources) {
    const bool takes_name = resource.path.back() == '/';
    if (takes_name ? path.starts_with(resource.path) : path == resource.path)
      return &resource;
  }
  return nullptr;
}

bool IsAuthorizedOperator(const Daemon& daemon,
                          const edge::HttpRequest& request) {
  if (daemon.settings.operator_token.empty())
    return true;
  const std::string expected = "Bearer " + daemon.settings.operator_token;
  const auto given = request[http::field::authorization];
  return given.size() == expected.size() &&
         sodium_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

}  // namespace

void OnAdminRequest(Daemon& daemon,
                    const std::shared_ptr<edge::Exchange>& caller_exchange,
                    const edge::HttpRequest& request) {
  const std::string_view path(request.target().data(), request.target().size());
  if (path == "/admin/v1/notes" && request.method() == http::verb::post) {
    if (!IsAuthorizedOperator(daemon, request)) {
      metrics::IncrementCounter(daemon.metrics,
                                "poplarfork_operators_refused_total");
      caller_exchange->Respond(
          MakeTextResponse(http::status::unauthorized,
                           "the operator token is missing or wrong\n"));
      return;
    }
    PublishNote(daemon, caller_exchange, request);
    return;
  }
  const Resource* resource = FindResource(path);
  if (!resource || request.method() != http::verb::get) {
    caller_exchange->Respond(
        MakeTextResponse(http::status::not_found, "no such resource\n"));
    return;
  }
  caller_exchange->Respond(
      resource->make_response(daemon, path.substr(resource->path.size())));
}

}  // namespace poplarfork::daemon
