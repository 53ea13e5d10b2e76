#include <boost/test/unit_test.hpp>

#include "base/rng_func.h"
#include "health/floor_func.h"

namespace poplarfork::health {

namespace {

RoutingEntry MakeLimitedEntry(std::uint32_t slots, double suspicion) {
  RoutingEntry entry;
  entry.slots = slots;
  entry.limited = true;
  entry.suspicion = suspicion;
  return entry;
}

RoutingEntry MakeHealthyEntry(std::uint32_t slots) {
  RoutingEntry entry;
  entry.slots = slots;
  return entry;
}

RoutingEntry MakeRandomEntry(base::Rng& rng) {
  RoutingEntry entry;
  entry.slots = static_cast<std::uint32_t>(1 + base::UniformBelow(rng, 8));
  entry.draining = base::UniformBelow(rng, 5) == 0;
  entry.limited = base::UniformBelow(rng, 2) == 0;
  entry.on_trial = entry.limited && base::UniformBelow(rng, 3) == 0;
  entry.weight = base::UniformBelow(rng, 4) == 0 ? base::Uniform01(rng) : 1;
  entry.suspicion = base::Uniform01(rng);
  return entry;
}

}  // namespace

// Guards against removing a less suspect upstream while a more suspect one
// stays in service.
BOOST_AUTO_TEST_CASE(MostSuspectIsRemovedFirst) {
  RoutingView view;
  view.floor = 0.75;
  view.entries = {MakeLimitedEntry(1, 5), MakeLimitedEntry(1, 9),
                  MakeHealthyEntry(1), MakeHealthyEntry(1)};
  const auto routable = RoutableUpstreams(view);
  BOOST_REQUIRE_EQUAL(routable.size(), 3U);
  BOOST_TEST(routable[0].index == 0U);
  BOOST_TEST(routable[0].kept_for_floor);
  BOOST_TEST(routable[1].index == 2U);
}

// Guards against counting a draining upstream as capacity: the floor must then
// keep a suspect upstream in service.
BOOST_AUTO_TEST_CASE(DrainingIsListedButNotRemaining) {
  RoutingView view;
  view.floor = 0.5;
  view.entries = {MakeLimitedEntry(1, 5), MakeHealthyEntry(1),
                  MakeHealthyEntry(1), MakeHealthyEntry(1)};
  BOOST_TEST(RoutableUpstreams(view).size() == 3U);
  view.entries[1].draining = true;
  view.entries[2].draining = true;
  const auto routable = RoutableUpstreams(view);
  BOOST_REQUIRE_EQUAL(routable.size(), 2U);
  BOOST_TEST(routable[0].kept_for_floor);
}

// Guards against sending no requests, or all requests to one upstream, when
// every upstream appears unhealthy and the floor would allow it.
BOOST_AUTO_TEST_CASE(AllUpstreamsServeWhenAllAreLimited) {
  RoutingView view;
  view.floor = 0;
  view.entries = {MakeLimitedEntry(1, 5), MakeLimitedEntry(2, 6),
                  MakeLimitedEntry(3, 7)};
  BOOST_TEST(RoutableUpstreams(view).size() == 3U);
}

// Guards against counting an upstream on trial as capacity, which would allow
// another removal.
BOOST_AUTO_TEST_CASE(TrialsDoNotCountAsCapacity) {
  RoutingView view;
  view.floor = 0.5;
  view.entries = {MakeLimitedEntry(1, 1), MakeLimitedEntry(1, 9),
                  MakeHealthyEntry(1)};
  view.entries[0].on_trial = true;
  const auto routable = RoutableUpstreams(view);
  BOOST_REQUIRE_EQUAL(routable.size(), 2U);
  BOOST_TEST(!routable[0].one_at_a_time);
  BOOST_TEST(RemainingSlots(view, routable) == 2U);
}

// Guards against rounding that requires one slot more than the floor.
BOOST_AUTO_TEST_CASE(FloorRoundsUpOnlyWhereNeeded) {
  BOOST_TEST(FloorSlots(0.1, 30) == 3U);
  BOOST_TEST(FloorSlots(0.5, 75) == 38U);
  BOOST_TEST(FloorSlots(1, 7) == 7U);
}

// Guards against any combination of drains, trials, ramps and suspicion in
// which removals bring a service below its floor, and against routing to
// draining upstreams.
BOOST_AUTO_TEST_CASE(RandomViewsKeepTheFloor) {
  constexpr std::uint64_t kSeed = 20261;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  base::Rng rng(kSeed);
  for (int round = 0; round < 20000; ++round) {
    RoutingView view;
    view.floor = base::Uniform01(rng);
    const std::uint64_t count = 1 + base::UniformBelow(rng, 12);
    std::uint64_t listed = 0;
    std::uint64_t not_draining = 0;
    for (std::uint64_t i = 0; i < count; ++i) {
      view.entries.push_back(MakeRandomEntry(rng));
      listed += view.entries.back().slots;
      if (!view.entries.back().draining)
        not_draining += view.entries.back().slots;
    }
    double remaining = 0;
    for (const RoutableUpstream& one : RoutableUpstreams(view)) {
      BOOST_REQUIRE(!view.entries[one.index].draining);
      if (!one.one_at_a_time)
        remaining += view.entries[one.index].slots * one.weight;
    }
    const double floor = view.floor * static_cast<double>(listed);
    const bool kept = remaining + 1e-9 >= floor ||
                      remaining + 1e-9 >= static_cast<double>(not_draining);
    BOOST_REQUIRE_MESSAGE(kept, "seed " << kSeed << " round " << round);
  }
}

}  // namespace poplarfork::health
