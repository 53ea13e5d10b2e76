#include <boost/test/unit_test.hpp>

#include <map>

#include "fleet/configuration_func.h"
#include "fleet/traffic_split_func.h"

namespace poplarfork::fleet {

namespace {

constexpr std::uint64_t kSeed = 20261204;

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.path_prefix = prefix;
  route.targets = {{{"orders"}, 1}};
  return route;
}

}  // namespace

// Guards against a shorter prefix that hides a longer one, and against host
// names that do not match because they differ in letter case or contain a port.
BOOST_AUTO_TEST_CASE(TheLongestPrefixIsChosen) {
  Configuration configuration;
  configuration.routes_by_host["a.example"] = {MakeRoute("short", "/a/"),
                                               MakeRoute("long", "/a/b/")};
  SortRoutes(configuration);
  BOOST_TEST(FindRoute(configuration, "A.example:80", "/a/b/c")->name ==
             "long");
  BOOST_TEST(FindRoute(configuration, "a.example", "/a/bc?x=/a/b/")->name ==
             "short");
  BOOST_TEST(!FindRoute(configuration, "a.example", "/b/"));
  BOOST_TEST(!FindRoute(configuration, "b.example", "/a/"));
}

// Guards against a traffic split in which a service receives twice its share
// when many daemons handle a few requests each.
BOOST_AUTO_TEST_CASE(TrafficSplitsKeepTheirWeightsOverManyDaemons) {
  Route route = MakeRoute("split", "/");
  route.targets = {{{"a"}, 90}, {{"b"}, 10}, {{"c"}, 0}};
  std::map<std::string, int> counts;
  base::Rng rng(kSeed);
  constexpr int kDaemons = 40;
  constexpr int kRequests = 8;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    TrafficSplitState state;
    for (int i = 0; i < kRequests; ++i)
      ++counts[ChooseTarget(state, route, rng).value];
  }
  // The deployment allows a share to deviate by a tenth of all requests. The
  // weight of b is a tenth, so b may receive none and at most a fifth.
  BOOST_TEST(counts["b"] >= 0);
  BOOST_TEST(counts["b"] <= 0.2 * kDaemons * kRequests);
  BOOST_TEST(counts["c"] == 0);
}

}  // namespace poplarfork::fleet
