#include "standin/platform_operator_func.h"

#include <nlohmann/json.hpp>

#include "standin/platform_store_func.h"

namespace poplarfork::standin {

namespace {

using Json = nlohmann::json;

Json MakeRouteJson(const std::string& host, const PlatformRoute& route) {
  return {{"host", host},
          {"pathPrefix", route.prefix},
          {"routeType", route.is_repeatable ? "idempotent" : "non_idempotent"},
          {"timeout", "4000ms"},
          {"targetLatency", "1500ms"},
          {"priority", 1},
          {"service", "s"},
          {"maxAttempts", 2}};
}

}  // namespace

void PutPlatformConfiguration(PlatformStore& store,
                              std::uint64_t version,
                              const std::string& host,
                              const std::vector<PlatformRoute>& routes) {
  Json routes_json = Json::object();
  for (const PlatformRoute& route : routes)
    routes_json[route.name] = MakeRouteJson(host, route);
  const Json configuration = {
      {"version", version},
      {"routes", routes_json},
      {"services",
       {{"s", {{"healthPath", "/health"}, {"maxConnections", 330}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 100000},
        {"headerTimeout", "5s"},
        {"idleTimeout", "20s"}}}};
  PutPlatformItem(store, "op/config", configuration.dump());
}

}  // namespace poplarfork::standin
