#include "tests/dispatch/dispatch_fixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "dispatch/handover_func.h"
#include "dispatch/rate_limit_func.h"

namespace poplarfork::dispatch {

namespace {

constexpr base::Duration kWindow = seconds(4);

// Upstreams that state a limit in their responses, and the times at which each
// got its requests.
struct LimitFixture : DispatchFixture {
  using DispatchFixture::DispatchFixture;

  // Ends an attempt with a response that states the limit.
  void Respond(const Grant& grant, Outcome outcome = Outcome::kServed) {
    AttemptReport report;
    report.attempt_id = grant.attempt_id;
    report.upstream = grant.upstream;
    report.outcome = outcome;
    report.duration = milliseconds(20);
    report.notice.rate_limit = this->limit;
    this->actions =
        OnAttemptReport(this->dispatcher, {"d"}, report, this->now, this->rng);
    this->RecordGrants();
  }

  // Notes the requests that were granted from the queue.
  void RecordGrants() {
    for (const Action& action : this->actions) {
      if (const auto* grant = std::get_if<SendGrant>(&action))
        this->granted.push_back(grant->grant);
    }
  }

  // Sends `rate` requests a second for some time.
  void Serve(base::Duration time, int rate, Outcome outcome) {
    const base::TimePoint end = this->now + time;
    for (int i = 0; this->now < end; ++i) {
      this->actions = OnSlotRequest(this->dispatcher, {"d"},
                                    this->MakeSlotRequest(i % 2 == 0),
                                    this->now, this->rng);
      this->RecordGrants();
      this->refused += this->FindRefusal() ? 1 : 0;
      while (!this->granted.empty()) {
        const Grant grant = this->granted.back();
        this->granted.pop_back();
        if (outcome != Outcome::kUnused)
          this->arrivals[grant.upstream.value].push_back(this->now);
        this->Respond(grant, outcome);
      }
      this->now += milliseconds(1000) / rate;
      this->actions = OnTick(this->dispatcher, this->now, this->rng);
      this->RecordGrants();
    }
  }

  // Returns the most requests that an upstream got in one window since `since`.
  std::size_t MostArrivals(base::TimePoint since) const {
    std::size_t most = 0;
    for (const auto& [id, times] : this->arrivals) {
      auto first = std::lower_bound(times.begin(), times.end(), since);
      for (; first != times.end(); ++first) {
        const auto last =
            std::lower_bound(first, times.end(), *first + kWindow);
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }

  std::optional<double> limit;
  std::vector<Grant> granted;
  std::map<std::string, std::vector<base::TimePoint>> arrivals;
  int refused = 0;
};

std::size_t AllowedArrivals(double limit) {
  return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

}  // namespace

// Guards against more requests than an upstream takes, from the first response
// that states the limit on, and against a limit that leaves it idle.
BOOST_AUTO_TEST_CASE(UpstreamsGetWhatTheirLimitAllows) {
  for (const double limit : {0.0, 0.5, 1.0, 2.5, 12.0}) {
    LimitFixture fixture(5, 6);
    fixture.ServeRequests(100);
    fixture.limit = limit;
    const base::TimePoint limited_since = fixture.now + seconds(1);
    fixture.Serve(seconds(12), 100, Outcome::kServed);
    BOOST_TEST(fixture.MostArrivals(limited_since) <= AllowedArrivals(limit));
    BOOST_TEST(fixture.MostArrivals(limited_since) + 1 >=
               static_cast<std::size_t>(4 * limit));
    // What cannot be sent is refused, not kept waiting.
    BOOST_TEST(fixture.refused > 0);
  }
}

// Guards against a limit that holds for good.
BOOST_AUTO_TEST_CASE(LimitsEndWithTheStatement) {
  LimitFixture fixture(5, 6);
  fixture.ServeRequests(100);
  fixture.limit = 1;
  fixture.Serve(seconds(6), 50, Outcome::kServed);
  fixture.limit.reset();
  fixture.Serve(seconds(3), 50, Outcome::kServed);
  const int refused_before = fixture.refused;
  fixture.Serve(seconds(4), 50, Outcome::kServed);
  BOOST_TEST(fixture.refused == refused_before);
}

// Guards against a limit that is used up by grants that were not sent.
BOOST_AUTO_TEST_CASE(UnusedGrantsDoNotCount) {
  LimitFixture fixture(1, 6);
  fixture.ServeRequests(100);
  fixture.limit = 2;
  fixture.Serve(seconds(2), 50, Outcome::kServed);
  UpstreamState& upstream =
      fixture.dispatcher.shards.begin()->second.upstreams.begin()->second;
  fixture.now += seconds(1);
  BOOST_REQUIRE(IsWithinLimit(upstream, fixture.now));
  const Grant* grant = fixture.RequestSlot("d", fixture.MakeSlotRequest(false));
  BOOST_REQUIRE(grant);
  BOOST_TEST(!IsWithinLimit(upstream, fixture.now));
  const Grant copy = *grant;
  fixture.EndAttempt("d", copy, Outcome::kUnused);
  BOOST_TEST(IsWithinLimit(upstream, fixture.now));
}

// Guards against a response that was on its way when the limit was stated and
// ends it.
BOOST_AUTO_TEST_CASE(EarlierRequestsDoNotEndLimits) {
  LimitFixture fixture(1, 6);
  fixture.ServeRequests(100);
  const Grant earlier =
      *fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  const Grant later = *fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  fixture.now += milliseconds(20);
  fixture.limit = 1;
  fixture.Respond(later);
  fixture.limit.reset();
  fixture.Respond(earlier);
  BOOST_TEST(fixture.dispatcher.shards.begin()
                 ->second.upstreams.begin()
                 ->second.rate_limit.has_value());
}

// Guards against a successor that does not know the limits, and that begins
// with a burst although its predecessor has just used them up.
BOOST_AUTO_TEST_CASE(SuccessorsKeepToLimits) {
  LimitFixture first(3, 6);
  first.ServeRequests(100);
  first.limit = 2;
  first.Serve(seconds(6), 50, Outcome::kServed);
  const fleet::Shard shard{kService, 0, 1};
  const auto digest = MakeDigest(first.dispatcher, shard, first.now);
  BOOST_REQUIRE(digest);
  LimitFixture second(3, 6);
  second.now = first.now;
  second.limit = 2;
  second.arrivals = first.arrivals;
  OnDigest(second.dispatcher, {"first"}, *digest, second.now);
  const base::TimePoint limited_since = first.now - seconds(4);
  second.Serve(seconds(6), 50, Outcome::kServed);
  BOOST_TEST(second.MostArrivals(limited_since) <= AllowedArrivals(2));
}

// Guards against a gateway that becomes the dispatcher without a digest and
// does not know the limits that it has passed on itself.
BOOST_AUTO_TEST_CASE(LimitsSeenByAGatewayAreKnownToItsDispatcher) {
  LimitFixture fixture(1, 6);
  BOOST_TEST(LearnStatedLimit(fixture.dispatcher, {"u0"}, 1, fixture.now));
  BOOST_TEST(!LearnStatedLimit(fixture.dispatcher, {"u0"}, 1, fixture.now));
  fixture.limit = 1;
  fixture.Serve(seconds(5), 50, Outcome::kServed);
  BOOST_TEST(fixture.MostArrivals(kStart) <= AllowedArrivals(1));
}

}  // namespace poplarfork::dispatch
