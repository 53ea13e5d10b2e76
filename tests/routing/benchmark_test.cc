#include <boost/test/unit_test.hpp>

#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include "base/rng_func.h"
#include "routing/choice_func.h"
#include "routing/route_table_func.h"
#include "routing/service_group_func.h"

// These tests print timings and assert none of them, because wall-clock time
// differs between machines and runs.
namespace poplarfork::routing {

namespace {

constexpr std::uint64_t kSeed = 20260731;

// Runs `operation` `count` times and prints the time of one run in nanoseconds.
template <class Operation>
void PrintTime(const std::string& name, int count, Operation operation) {
  const auto start = std::chrono::steady_clock::now();
  for (int run = 0; run < count; ++run)
    operation(run);
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  std::cout << name << ": " << elapsed.count() / count << " ns\n";
}

note::Configuration LargeConfiguration() {
  note::Configuration configuration;
  for (int service = 0; service < 2500; ++service) {
    const std::string name = "service-" + std::to_string(service);
    for (int route = 0; route < 32; ++route) {
      const note::RouteKey key{name + ".example.com",
                               "/v1/part-" + std::to_string(route), ""};
      configuration.routes[key] =
          note::Route{.key = key, .service = {name}, .repeatable = true};
    }
  }
  return configuration;
}

std::vector<note::RouteKey> LargeRequests(std::size_t count) {
  std::vector<note::RouteKey> requests;
  requests.reserve(count);
  base::Rng rng(kSeed);
  while (requests.size() < count) {
    requests.push_back(
        {"service-" + std::to_string(base::UniformBelow(rng, 2500)) +
             ".example.com",
         "/v1/part-" + std::to_string(base::UniformBelow(rng, 32)) + "/7?x=1",
         "GET"});
  }
  return requests;
}

}  // namespace

// Guards against lookups that fail at the number of routes that is expected in
// two years.
BOOST_AUTO_TEST_CASE(RouteLookupWith80000Routes) {
  const note::Configuration configuration = LargeConfiguration();
  BOOST_REQUIRE(configuration.routes.size() == 80000U);
  RouteTable table;
  PrintTime("build of a table of 80000 routes", 1,
            [&](int) { table = BuildRouteTable(configuration); });
  const std::vector<std::string> changed = {"service-7.example.com"};
  PrintTime("rebuild of one host of 2500", 10,
            [&](int) { table = RebuildHosts(table, configuration, changed); });
  const std::vector<note::RouteKey> requests = LargeRequests(4096);
  int matched = 0;
  PrintTime("route lookup at 80000 routes", 1000000, [&](int run) {
    const note::RouteKey& request = requests[run % requests.size()];
    const RouteMatch match =
        FindRoute(table, request.host, request.method, request.path_prefix);
    matched += match.status == RouteStatus::kMatched ? 1 : 0;
  });
  BOOST_TEST(matched == 1000000);
}

// Guards against choices that fail with few or with many upstreams.
BOOST_AUTO_TEST_CASE(ChoiceAmongFewAndManyUpstreams) {
  for (const int count : {30, 68000}) {
    std::vector<Candidate> candidates(count, Candidate{.limit = 6, .slots = 6});
    base::Rng rng(kSeed);
    int chosen = 0;
    const base::TimePoint now{std::chrono::seconds(1)};
    PrintTime("choice among " + std::to_string(count) + " upstreams", 1000000,
              [&](int) {
                const auto choice = ChooseUpstream(candidates, {}, now, rng);
                candidates[choice->chosen.index].in_flight ^= 1U;
                ++chosen;
              });
    BOOST_TEST(chosen == 1000000);
  }
}

// Guards against groups of a wrong size in a large fleet.
BOOST_AUTO_TEST_CASE(GroupsInALargeFleet) {
  std::vector<GroupMember> fleet;
  fleet.reserve(6900);
  for (int daemon = 0; daemon < 6900; ++daemon) {
    fleet.push_back({{"10.0.0.1:" + std::to_string(daemon)},
                     {"dc" + std::to_string(daemon % 14)}});
  }
  std::size_t member_count = 0;
  PrintTime("service group out of 6900 daemons", 100, [&](int run) {
    const base::ServiceId service{"service-" + std::to_string(run)};
    member_count += ServiceGroup(service, fleet).size();
  });
  BOOST_TEST(member_count == 4000U);
}

}  // namespace poplarfork::routing
