#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

#include "routing/route_table_func.h"

namespace poplarfork::routing {

namespace {

void AddRoute(note::Configuration& configuration,
              const note::RouteKey& key,
              const char* service,
              bool repeatable = false) {
  configuration.routes[key] =
      note::Route{.key = key, .service = {service}, .repeatable = repeatable};
}

note::Configuration SmallConfiguration() {
  note::Configuration configuration;
  AddRoute(configuration, {"shop.example", "/", ""}, "site", true);
  AddRoute(configuration, {"shop.example", "/orders", "POST"}, "orders");
  AddRoute(configuration, {"shop.example", "/orders", "GET"}, "status", true);
  AddRoute(configuration, {"shop.example", "/orders/old/", ""}, "archive");
  AddRoute(configuration, {"api.example", "/v1", ""}, "api");
  configuration.withdrawn_routes[{"shop.example", "/manuals", ""}] = {
      "manuals"};
  configuration.withdrawn_routes[{"gone.example", "/", ""}] = {"gone"};
  return configuration;
}

std::string ServiceOf(const RouteTable& table,
                      const char* host,
                      const char* method,
                      const char* target) {
  const RouteMatch match = FindRoute(table, host, method, target);
  return match.status == RouteStatus::kMatched ? match.service.value : "";
}

}  // namespace

// Guards against a request that is routed by a shorter prefix than the longest
// match, and against a non-repeatable request that is treated as repeatable.
BOOST_AUTO_TEST_CASE(LongestPrefixAndMethodTakePrecedence) {
  const RouteTable table = BuildRouteTable(SmallConfiguration());
  BOOST_TEST(ServiceOf(table, "shop.example", "POST", "/orders/7") == "orders");
  BOOST_TEST(ServiceOf(table, "shop.example", "GET", "/orders?x=/") ==
             "status");
  BOOST_TEST(ServiceOf(table, "shop.example", "POST", "/orders/old/7") ==
             "archive");
  BOOST_TEST(ServiceOf(table, "shop.example", "DELETE", "/orders") == "site");
  BOOST_TEST(ServiceOf(table, "SHOP.example:8443", "GET", "/orders") ==
             "status");
  BOOST_TEST(!FindRoute(table, "shop.example", "POST", "/orders").repeatable);
  BOOST_TEST(FindRoute(table, "shop.example", "GET", "/orders").repeatable);
}

// Guards against the prefix "/orders" that matches requests for "/orders-old",
// also if another prefix sorts between them.
BOOST_AUTO_TEST_CASE(PrefixesMatchWholeSegments) {
  const RouteTable table = BuildRouteTable(SmallConfiguration());
  BOOST_TEST(ServiceOf(table, "shop.example", "POST", "/orders-old") == "site");
  BOOST_TEST(ServiceOf(table, "shop.example", "POST", "/orders/older") ==
             "orders");
}

// Guards against a response with status 404 where 410 (withdrawn) or 421 (wrong
// host) is right.
BOOST_AUTO_TEST_CASE(FailuresHaveTheirOwnStatus) {
  const RouteTable table = BuildRouteTable(SmallConfiguration());
  const RouteMatch manuals =
      FindRoute(table, "shop.example", "GET", "/manuals/1");
  BOOST_TEST((manuals.status == RouteStatus::kWithdrawn));
  BOOST_TEST(manuals.service.value == "manuals");
  BOOST_TEST((FindRoute(table, "gone.example", "GET", "/x").status ==
              RouteStatus::kWithdrawn));
  BOOST_TEST((FindRoute(table, "api.example", "GET", "/v2").status ==
              RouteStatus::kNoRoute));
  BOOST_TEST((FindRoute(table, "other.example", "GET", "/").status ==
              RouteStatus::kWrongHost));
}

// Guards against a withdrawn route that hides a live one with the same key, and
// against a rebuilt table that keeps routes of the previous revision.
BOOST_AUTO_TEST_CASE(RebuiltHostsFollowTheConfiguration) {
  note::Configuration configuration = SmallConfiguration();
  const RouteTable before = BuildRouteTable(configuration);
  AddRoute(configuration, {"shop.example", "/manuals", ""}, "manuals2");
  configuration.routes.erase({"api.example", "/v1", ""});
  const std::array<std::string, 2> hosts = {"shop.example", "api.example"};
  const RouteTable after = RebuildHosts(before, configuration, hosts);
  BOOST_TEST(ServiceOf(after, "shop.example", "GET", "/manuals") == "manuals2");
  BOOST_TEST((FindRoute(after, "api.example", "GET", "/v1").status ==
              RouteStatus::kWrongHost));
  BOOST_TEST(ServiceOf(before, "api.example", "GET", "/v1") == "api");
}

}  // namespace poplarfork::routing
