#include "dispatch/duration_stats_func.h"

#include "dispatch/fault_estimate_func.h"
#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

void AddResponse(DurationStats& stats, base::Duration duration) {
  AddResponseDuration(stats, duration, IsShortResponse(stats, duration));
}

// Sends one request to u0, which is the only upstream, and ends it.
void ServeRequest(DispatchFixture& fixture, base::Duration duration) {
  const Grant* grant = fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  BOOST_REQUIRE(grant);
  const Grant copy = *grant;
  fixture.now += duration;
  fixture.EndAttempt("d", copy, Outcome::kServed, duration);
}

}  // namespace

// Guards against a mean duration that is half of what the work takes because
// half of the requests take almost no time: attempts were then retried while
// their upstreams still worked on them.
BOOST_AUTO_TEST_CASE(ShortResponsesDoNotLowerTheMean) {
  for (const bool short_first : {false, true}) {
    DurationStats stats;
    for (int i = 0; i < 400; ++i)
      AddResponse(stats, (i % 2 == 0) == short_first ? milliseconds(3)
                                                     : milliseconds(600));
    BOOST_TEST(stats.mean_us == 600e3, boost::test_tools::tolerance(0.05));
    BOOST_TEST(MeanResponseUs(stats) == 300e3,
               boost::test_tools::tolerance(0.1));
  }
}

// Guards against a class of work whose first responses were all short and whose
// normal ones count as slow ever after.
BOOST_AUTO_TEST_CASE(WorkIsRecognisedAfterShortResponsesOnly) {
  DurationStats stats;
  for (int i = 0; i < 200; ++i)
    AddResponse(stats, milliseconds(3));
  for (int i = 0; i < 60; ++i)
    AddResponse(stats, milliseconds(i % 2 == 0 ? 3 : 600));
  BOOST_TEST(stats.mean_us == 600e3, boost::test_tools::tolerance(0.05));
}

// Guards against a mean that stays when the work itself has become faster.
BOOST_AUTO_TEST_CASE(MeanFollowsWorkThatBecomesFaster) {
  DurationStats stats;
  for (int i = 0; i < 200; ++i)
    AddResponse(stats, milliseconds(600));
  for (int i = 0; i < 500; ++i)
    AddResponse(stats, milliseconds(6));
  BOOST_TEST(stats.mean_us == 6e3, boost::test_tools::tolerance(0.1));
}

// Guards against durations of one kind of work of which some count as short: a
// tenth of the mean is within what healthy upstreams take.
BOOST_AUTO_TEST_CASE(FastWorkIsNotShort) {
  DurationStats stats;
  for (int i = 0; i < 200; ++i)
    AddResponse(stats, milliseconds(i % 4 == 0 ? 60 : 600));
  BOOST_TEST(!IsShortResponse(stats, milliseconds(60)));
  BOOST_TEST(IsShortResponse(stats, milliseconds(6)));
}

// Guards against an upstream that hangs its work and is taken for healthy
// because it still answers requests that need no work.
BOOST_AUTO_TEST_CASE(ShortResponsesAreLittleEvidenceOfHealth) {
  DispatchFixture fixture(1, 6);
  for (int i = 0; i < 40; ++i)
    ServeRequest(fixture, milliseconds(300));
  UpstreamState& upstream = fixture.FindUpstream("u0");
  fixture.now += seconds(1);
  upstream.fault_estimate = {0.6, fixture.now};
  const double served_before = upstream.served;
  ServeRequest(fixture, milliseconds(3));
  BOOST_TEST(FaultProbability(upstream, fixture.now) > 0.5);
  BOOST_TEST(upstream.served < served_before + 0.5);
  ServeRequest(fixture, milliseconds(300));
  BOOST_TEST(FaultProbability(upstream, fixture.now) < 0.4);
}

// Guards against a trial that ends with responses that needed no work.
BOOST_AUTO_TEST_CASE(ShortResponsesDoNotEndATrial) {
  DispatchFixture fixture(1, 6);
  for (int i = 0; i < 40; ++i)
    ServeRequest(fixture, milliseconds(300));
  UpstreamState& upstream = fixture.FindUpstream("u0");
  upstream.health_status = HealthStatus::kTrial;
  upstream.trial_started_at = fixture.now;
  for (int i = 0; i < 6; ++i)
    ServeRequest(fixture, milliseconds(3));
  BOOST_TEST((upstream.health_status == HealthStatus::kTrial));
  for (int i = 0; i < 3; ++i)
    ServeRequest(fixture, milliseconds(300));
  BOOST_TEST((upstream.health_status == HealthStatus::kHealthy));
}

}  // namespace poplarfork::dispatch
