#include "daemon/edge_func.h"

#include <string>
#include <string_view>

#include "daemon/address_response_func.h"
#include "daemon/claim_func.h"
#include "daemon/http_response_func.h"
#include "daemon/problem_func.h"
#include "daemon/shutdown_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kFleetPathPrefix = "/.poplarfork/v1/";

std::string_view GetPath(const edge::HttpRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  return target.substr(0, target.find('?'));
}

edge::HttpResponse MakeFleetResponse(Daemon& daemon,
                                     const edge::HttpRequest& request) {
  const std::string_view resource_name =
      GetPath(request).substr(kFleetPathPrefix.size());
  const bool is_get = request.method() == http::verb::get;
  if (resource_name == "addresses" && is_get)
    return MakeAddressResponse(daemon, request);
  if (resource_name == "keys" && request.method() == http::verb::post)
    return MakeMintedKeyResponse(daemon, request);
  if (resource_name == "healthz" && is_get) {
    const bool is_serving = daemon.ready && !IsDraining(daemon);
    return MakeTextResponse(
        is_serving ? http::status::ok : http::status::service_unavailable,
        is_serving ? "ready\n" : "not ready\n");
  }
  return MakeProblemResponse(
      {http::status::not_found, Outcome::kNotRun, "no_such_resource", {}},
      {""});
}

}  // namespace

bool IsFleetPath(const edge::HttpRequest& request) {
  return GetPath(request).starts_with(kFleetPathPrefix);
}

void OnFleetRequest(Daemon& daemon,
                    const std::shared_ptr<edge::Exchange>& caller_exchange,
                    const edge::HttpRequest& request) {
  caller_exchange->Respond(MakeFleetResponse(daemon, request));
}

}  // namespace poplarfork::daemon
