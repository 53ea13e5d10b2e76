#include <boost/test/unit_test.hpp>

#include <vector>

#include "routing/choice_func.h"

namespace poplarfork::routing {

namespace {

constexpr std::uint64_t kSeed = 20260731;
constexpr base::TimePoint kNow{std::chrono::seconds(100)};

std::vector<Candidate> IdleCandidates(std::size_t count) {
  return std::vector<Candidate>(count, Candidate{.limit = 3, .slots = 3});
}

std::vector<int> CountChoices(const std::vector<Candidate>& candidates,
                              int choices) {
  base::Rng rng(kSeed);
  std::vector<int> counts(candidates.size(), 0);
  for (int choice = 0; choice < choices; ++choice)
    ++counts[ChooseUpstream(candidates, {}, kNow, rng)->chosen.index];
  return counts;
}

}  // namespace

// Guards against an outdated load report that outweighs the daemon's own count
// of requests.
BOOST_AUTO_TEST_CASE(OwnRequestsComeBeforeReports) {
  std::vector<Candidate> candidates = IdleCandidates(2);
  candidates[0].in_flight = 1;
  candidates[1].has_report = true;
  candidates[1].reported_load = 3;
  candidates[1].reported_at = kNow;
  BOOST_TEST(CountChoices(candidates, 100)[1] == 100);
}

// Guards against an upstream that stops reporting and then counts as idle
// forever.
BOOST_AUTO_TEST_CASE(ReportsAgeTowardsUnknown) {
  Candidate candidate{
      .reported_load = 1.5, .reported_at = kNow, .has_report = true};
  BOOST_TEST(EstimatedLoad(candidate, kNow) == 1.5);
  BOOST_TEST(EstimatedLoad(candidate, kNow + kLoadHalfLife) == 1.0);
  BOOST_TEST(
      EstimatedLoad(candidate, kNow + 60 * kLoadHalfLife) == kUnknownLoad,
      boost::test_tools::tolerance(1e-9));
  BOOST_TEST(EstimatedLoad(Candidate{}, kNow) == kUnknownLoad);
}

// Guards against an upstream that returns to service and gets its full share at
// once.
BOOST_AUTO_TEST_CASE(RampingUpstreamsGetLess) {
  std::vector<Candidate> candidates = IdleCandidates(10);
  candidates[4].weight = 0.1;
  const std::vector<int> counts = CountChoices(candidates, 10000);
  BOOST_TEST(counts[4] < 250);
  BOOST_TEST(counts[4] > 20);
}

// Guards against work for an upstream that is at its limit or was already
// tried, and against refused work while one of many upstreams is free.
BOOST_AUTO_TEST_CASE(FullAndTriedUpstreamsAreLeftOut) {
  std::vector<Candidate> candidates = IdleCandidates(100);
  for (Candidate& candidate : candidates)
    candidate.in_flight = 3;
  base::Rng rng(kSeed);
  BOOST_TEST(!ChooseUpstream(candidates, {}, kNow, rng));
  candidates[71].in_flight = 2;
  const auto choice = ChooseUpstream(candidates, {}, kNow, rng);
  BOOST_REQUIRE(choice);
  BOOST_TEST(choice->chosen.index == 71U);
  BOOST_TEST(!choice->other);
  const std::vector<std::uint32_t> tried = {71};
  BOOST_TEST(!ChooseUpstream(candidates, tried, kNow, rng));
  BOOST_TEST(!ChooseUpstream({}, {}, kNow, rng));
}

}  // namespace poplarfork::routing
