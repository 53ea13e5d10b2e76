#include "dispatch/coverage_func.h"

#include "tests/dispatch/service_model.h"

namespace poplarfork::dispatch {

namespace {

// The deployment's floor: of the sound upstreams, this share must receive
// requests in each window in which a tenth to a half of the requests fail.
constexpr double kFloorShare = 0.7;
constexpr base::Duration kFloorWindow = seconds(2);

// Plays `duration` of a model and returns the smallest share of sound upstreams
// that were covered in a window in which the floor binds.
double SmallestCoveredShare(const ModelOptions& options,
                            std::uint64_t seed,
                            base::Duration duration) {
  ServiceModel model(options, seed);
  const base::TimePoint start = model.fixture.now;
  double smallest = 1;
  while (model.fixture.now < start + duration) {
    model.Step();
    // The first windows are short of requests that have ended.
    if (model.steps % 20 != 0 || model.fixture.now < start + 2 * kFloorWindow)
      continue;
    const double unserved = model.UnservedShare(kFloorWindow);
    if (unserved > 0.1 && unserved < 0.5)
      smallest = std::min(smallest, model.CoveredShare(kFloorWindow));
  }
  return smallest;
}

// Makes the dispatcher take most recent requests for unserved.
void MakeLossy(DispatchFixture& fixture) {
  LossStats& loss_stats = fixture.dispatcher.shards.at({kService}).loss_stats;
  for (int i = 0; i < 20; ++i)
    CountUnserved(loss_stats, 1, fixture.now);
}

ModelOptions DrawOptions(base::Rng& rng) {
  ModelOptions options;
  options.upstreams = 5 + static_cast<int>(base::UniformBelow(rng, 36));
  options.daemons = 4 + static_cast<int>(base::UniformBelow(rng, 40));
  options.load = 0.15 + 0.6 * base::Uniform01(rng);
  options.repeatable_share =
      base::Uniform01(rng) < 0.3 ? 0 : base::Uniform01(rng);
  options.faulty_share = 0.6 * base::Uniform01(rng);
  options.fault_kind =
      base::Uniform01(rng) < 0.5 ? FaultKind::kErrors : FaultKind::kHangs;
  options.episodes_per_s = 0.15 * base::Uniform01(rng);
  if (base::Uniform01(rng) < 0.4)
    options.takeover_at = milliseconds(
        10 * (300 + static_cast<int>(base::UniformBelow(rng, 500))));
  return options;
}

}  // namespace

// Guards against healthy upstreams that get no request while many requests
// fail. Services with and without repeatable requests, with upstreams that
// fail, hang and recover, and with a dispatcher that knows nothing.
BOOST_AUTO_TEST_CASE(SoundUpstreamsAreCoveredWhileManyRequestsFail) {
  constexpr int kRuns = 1000;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    base::Rng rng(seed);
    const ModelOptions options = DrawOptions(rng);
    const double covered = SmallestCoveredShare(options, seed, seconds(12));
    BOOST_TEST_CONTEXT("seed " << seed << ", " << options.upstreams
                               << " upstreams, load " << options.load
                               << ", repeatable " << options.repeatable_share
                               << ", takeover at "
                               << options.takeover_at.count() / 1000 << " ms")
    BOOST_TEST(covered >= kFloorShare);
  }
}

// Guards against healthy upstreams that are idle while all is well: when many
// requests fail at the end of a window, it is too late to cover them.
BOOST_AUTO_TEST_CASE(SoundUpstreamsAreCoveredBeforeFailuresBegin) {
  constexpr int kRuns = 200;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    base::Rng rng(seed);
    ModelOptions options = DrawOptions(rng);
    options.load = 0.15 + 0.3 * base::Uniform01(rng);
    options.faulty_share = 0.2 * base::Uniform01(rng);
    options.episodes_per_s = 0.03;
    options.takeover_at = {};
    ServiceModel model(options, seed);
    const base::TimePoint start = model.fixture.now;
    double smallest = 1;
    while (model.fixture.now < start + seconds(8)) {
      model.Step();
      if (model.steps % 20 == 0 && model.fixture.now > start + kFloorWindow)
        smallest = std::min(smallest, model.CoveredShare(kFloorWindow));
    }
    BOOST_TEST_CONTEXT("seed " << seed << ", " << options.upstreams
                               << " upstreams, load " << options.load
                               << ", repeatable " << options.repeatable_share)
    BOOST_TEST(smallest >= kFloorShare);
  }
}

// Guards against healthy upstreams that are idle when many others begin to fail
// at the same moment: there is then no time left in the window to cover them.
BOOST_AUTO_TEST_CASE(SoundUpstreamsAreCoveredWhenFailuresBegin) {
  constexpr int kRuns = 1000;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    base::Rng rng(seed);
    ModelOptions options = DrawOptions(rng);
    options.faulty_share = 0.2 * base::Uniform01(rng);
    options.episodes_per_s = 0.03;
    options.takeover_at = {};
    options.onset_at = milliseconds(
        10 * (500 + static_cast<int>(base::UniformBelow(rng, 200))));
    options.onset_share = 0.1 + 0.5 * base::Uniform01(rng);
    const double covered = SmallestCoveredShare(options, seed, seconds(11));
    BOOST_TEST_CONTEXT("seed " << seed << ", " << options.upstreams
                               << " upstreams, load " << options.load
                               << ", repeatable " << options.repeatable_share
                               << ", " << options.onset_share << " fail at "
                               << options.onset_at.count() / 1000 << " ms")
    BOOST_TEST(covered >= kFloorShare);
  }
}

// Guards against an upstream that is never chosen again because its last
// response, received long ago, reported a long queue.
BOOST_AUTO_TEST_CASE(OldReportedLoadDoesNotKeepRequestsAway) {
  DispatchFixture fixture(4, 6);
  fixture.ServeRequests(40);
  UpstreamState& upstream = fixture.FindUpstream("u0");
  upstream.foreign_requests = 14;
  upstream.load_reported_at = fixture.now - seconds(2);
  int granted = 0;
  for (int i = 0; i < 12; ++i) {
    const Grant* grant =
        fixture.RequestSlot("d", fixture.MakeSlotRequest(false));
    BOOST_REQUIRE(grant);
    granted += grant->upstream.value == "u0" ? 1 : 0;
  }
  BOOST_TEST(granted >= 2);
}

// Guards against requests that are sent to upstreams with gray failures for
// coverage while the others serve nearly all requests.
BOOST_AUTO_TEST_CASE(NothingIsCoveredWhileFewRequestsFail) {
  DispatchFixture fixture(4, 6);
  fixture.ServeRequests(40);
  UpstreamState& upstream = fixture.FindUpstream("u0");
  upstream.health_status = HealthStatus::kSuspended;
  upstream.suspended_until = fixture.now + seconds(60);
  fixture.now += seconds(10);
  for (int i = 0; i < 12; ++i) {
    const Grant* grant =
        fixture.RequestSlot("d", fixture.MakeSlotRequest(i % 2 == 0));
    BOOST_REQUIRE(grant);
    BOOST_TEST(grant->upstream.value != "u0");
  }
}

// Guards against an unreachable upstream that is due for coverage and therefore
// delays every request.
BOOST_AUTO_TEST_CASE(UnreachableUpstreamsAreNotCoveredByEveryRequest) {
  DispatchFixture fixture(4, 6);
  fixture.ServeRequests(40);
  UpstreamState& dead = fixture.FindUpstream("u0");
  dead.health_status = HealthStatus::kSuspended;
  dead.suspended_until = fixture.now + seconds(60);
  dead.covered_at = fixture.now - seconds(5);
  MakeLossy(fixture);
  int unreachable = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string daemon = "d" + std::to_string(i);
    const Grant* grant =
        fixture.RequestSlot(daemon, fixture.MakeSlotRequest(true));
    BOOST_REQUIRE(grant);
    const Grant copy = *grant;
    const bool is_dead = copy.upstream.value == "u0";
    unreachable += is_dead ? 1 : 0;
    fixture.EndAttempt(daemon, copy,
                       is_dead ? Outcome::kUnreachable : Outcome::kServed);
  }
  BOOST_TEST(unreachable == 1);
}

// Guards against a suspended upstream that has served a request and still waits
// for the end of its suspension.
BOOST_AUTO_TEST_CASE(CoverageThatSucceedsBeginsTheTrial) {
  DispatchFixture fixture(4, 6);
  fixture.ServeRequests(40);
  UpstreamState& upstream = fixture.FindUpstream("u0");
  upstream.health_status = HealthStatus::kSuspended;
  upstream.suspended_at = fixture.now;
  upstream.suspended_until = fixture.now + seconds(60);
  fixture.now += seconds(4);
  MakeLossy(fixture);
  for (int i = 1; i < 4; ++i)
    fixture.FindUpstream("u" + std::to_string(i)).covered_at = fixture.now;
  const Grant* grant = fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value == "u0");
  const Grant copy = *grant;
  fixture.EndAttempt("d", copy, Outcome::kServed);
  BOOST_TEST((upstream.health_status == HealthStatus::kTrial));
}

}  // namespace poplarfork::dispatch
