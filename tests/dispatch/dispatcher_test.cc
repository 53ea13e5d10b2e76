#include "tests/dispatch/dispatch_fixture.h"

#include <vector>

#include "dispatch/admission_func.h"
#include "dispatch/evidence_func.h"

namespace poplarfork::dispatch {

using Fixture = DispatchFixture;

// Guards against upstreams that receive more requests than they have slots
// while others are idle. Many daemons each send one request.
BOOST_AUTO_TEST_CASE(RequestsOfManyDaemonsUseAllSlotsAndNoMore) {
  Fixture fixture(5, 3);
  for (int i = 0; i < 15; ++i)
    BOOST_TEST(fixture.AskFor("d" + std::to_string(i), fixture.MakeAsk(false)));
  for (const auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams)
    BOOST_TEST(upstream.running == 3U);
  BOOST_TEST(!fixture.AskFor("d16", fixture.MakeAsk(false)));
}

// Guards against a lost datagram that occupies a slot or causes grants at two
// upstreams: the daemon then repeats its slot request.
BOOST_AUTO_TEST_CASE(RepeatedSlotRequestsGetTheSameReply) {
  Fixture fixture(2, 1);
  const Ask ask = fixture.MakeAsk(false);
  const Grant first = *fixture.AskFor("d", ask);
  const Grant second = *fixture.AskFor("d", ask);
  BOOST_TEST((first.upstream == second.upstream));
  BOOST_TEST(fixture.Upstream(first.upstream.value).running == 1U);
  fixture.AskFor("d", fixture.MakeAsk(false));
  const Ask waiting = fixture.MakeAsk(false);
  fixture.AskFor("d", waiting);
  fixture.AskFor("d", waiting);
  BOOST_TEST(fixture.dispatcher.shards.at({kService}).waiting.size() == 1U);
}

// Guards against a slot that stays occupied because the report of its attempt
// was lost.
BOOST_AUTO_TEST_CASE(SlotsAreFreedWhenReportsAreLost) {
  Fixture fixture(1, 1);
  BOOST_TEST(fixture.AskFor("d", fixture.MakeAsk(false)));
  fixture.Advance(seconds(3));
  BOOST_TEST(fixture.Upstream("u0").running == 0U);
}

// Guards against a queue in which every request becomes late. For three seconds
// the demand is twice what the slots can serve.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedAtOnceAndOtherRequestsAreOnTime) {
  Fixture fixture(4, 3);
  fixture.Warm(40);
  struct Busy {
    base::TimePoint ends;
    Grant grant;
    base::TimePoint late_at;
  };
  std::vector<Busy> running;
  std::map<std::uint64_t, base::TimePoint> late_at;
  int refused = 0;
  int asked = 0;
  int on_time = 0;
  int late = 0;
  const base::Duration service_time = milliseconds(250);
  const auto take = [&](const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* grant = std::get_if<SendGrant>(&action))
        running.push_back({fixture.now + service_time, grant->grant,
                           late_at[grant->grant.attempt.value]});
      if (std::get_if<SendRefusal>(&action))
        ++refused;
    }
  };
  // The slots can serve 48 requests per second; 96 arrive.
  for (int step = 0; step < 300; ++step) {
    fixture.now += milliseconds(10);
    for (std::size_t i = 0; i < running.size();) {
      if (running[i].ends > fixture.now) {
        ++i;
        continue;
      }
      const Busy done = running[i];
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
      (done.ends <= done.late_at ? on_time : late) += 1;
      fixture.End("d", done.grant, Outcome::kServed, service_time);
      take(fixture.actions);
    }
    if (step % 25 == 24)
      continue;
    ++asked;
    const Ask ask = fixture.MakeAsk(step % 4 == 0);
    late_at[ask.attempt.value] = fixture.now + ask.until_late;
    fixture.AskFor("d", ask);
    take(fixture.actions);
  }
  BOOST_TEST_MESSAGE("asked " << asked << ", on time " << on_time << ", late "
                              << late << ", refused " << refused);
  // At best, 12 slots serve 4 requests per second each for 3 s.
  BOOST_TEST(on_time >= 0.9 * 48 * 2.75);
  BOOST_TEST(late <= 0.05 * on_time);
  BOOST_TEST(refused > 0);
}

// Guards against refused requests that all return at the same moment, and
// against refusals without a time to return.
BOOST_AUTO_TEST_CASE(RetryAfterIsSpreadOverTime) {
  Fixture fixture(1, 1);
  fixture.Warm(10);
  ServiceState& service = fixture.dispatcher.shards.at({kService});
  for (int i = 0; i < 4; ++i)
    fixture.AskFor("d", fixture.MakeAsk(false));
  const base::Duration early = RetryAfter(service, 0);
  const base::Duration late = RetryAfter(service, 0.999);
  BOOST_TEST((early >= milliseconds(100)));
  BOOST_TEST((late > early));
  BOOST_TEST((late <= seconds(3)));
}

// Guards against non-repeatable requests that are lost at an upstream that
// hangs while its health probe succeeds. After the first second without a
// response, the upstream must receive no more requests.
BOOST_AUTO_TEST_CASE(SilentUpstreamsAreAvoidedBeforeTheDeadline) {
  Fixture fixture(4, 6);
  fixture.Warm(40);
  int at_silent = 0;
  std::vector<std::pair<base::TimePoint, Grant>> running;
  for (int step = 0; step < 400; ++step) {
    fixture.Advance(milliseconds(50));
    for (std::size_t i = 0; i < running.size();) {
      if (running[i].first > fixture.now) {
        ++i;
        continue;
      }
      fixture.End("d" + std::to_string(i), running[i].second, Outcome::kServed);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    const std::string daemon = "d";
    const Grant* grant = fixture.AskFor(daemon, fixture.MakeAsk(false));
    if (!grant)
      continue;
    if (grant->upstream.value == "u0")
      ++at_silent;
    else
      running.emplace_back(fixture.now + milliseconds(250), *grant);
    if (step == 60)
      break;
  }
  // These are three seconds at 20 requests per second; an even distribution
  // would send 15 to the upstream.
  BOOST_TEST(at_silent <= 5);
}

// Guards against healthy upstreams that are suspended because the network paths
// of one daemon, or between one daemon and one upstream, are cut.
BOOST_AUTO_TEST_CASE(FailuresOfOneDaemonSuspendNoUpstream) {
  Fixture fixture(6, 6);
  fixture.Warm(60);
  for (int i = 0; i < 30; ++i) {
    fixture.now += milliseconds(30);
    const Grant* cut = fixture.AskFor("cut", fixture.MakeAsk(true));
    if (cut) {
      const Grant copy = *cut;
      fixture.End("cut", copy, Outcome::kUnreachable);
    }
    const Grant* sound = fixture.AskFor("sound", fixture.MakeAsk(true));
    BOOST_REQUIRE(sound);
    const Grant copy = *sound;
    fixture.End("sound", copy, Outcome::kServed);
  }
  for (const auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams)
    BOOST_TEST((upstream.standing == Standing::kTrusted));
}

// Guards against a dead upstream at which every daemon has to see a failed
// connection before it is suspended.
BOOST_AUTO_TEST_CASE(RefusedConnectionsSuspendAnUpstreamAtOnce) {
  Fixture fixture(3, 3);
  fixture.Warm(30);
  fixture.now += seconds(1);
  for (int i = 0; i < 6; ++i) {
    const Grant* grant =
        fixture.AskFor("d" + std::to_string(i), fixture.MakeAsk(false));
    BOOST_REQUIRE(grant);
    const Grant copy = *grant;
    if (copy.upstream.value == "u1")
      fixture.End("d" + std::to_string(i), copy, Outcome::kRefused);
  }
  BOOST_TEST((fixture.Upstream("u1").standing == Standing::kSuspended));
  BOOST_TEST((fixture.Upstream("u0").standing == Standing::kTrusted));
}

// Guards against an upstream that fails half of its requests and stays in use,
// and against an upstream that has recovered and stays suspended.
BOOST_AUTO_TEST_CASE(FailingUpstreamsAreSuspendedAndReinstated) {
  Fixture fixture(4, 6);
  fixture.Warm(40);
  bool failing = true;
  int in_use = 0;
  for (int step = 0; step < 240; ++step) {
    if (step == 100)
      failing = false;
    fixture.Advance(milliseconds(50));
    for (const Action& action : Actions(fixture.actions)) {
      if (const auto* probe = std::get_if<StartProbe>(&action))
        OnProbe(fixture.dispatcher, probe->service, probe->upstream, true,
                fixture.now);
    }
    const Grant* grant = fixture.AskFor("d", fixture.MakeAsk(true));
    BOOST_REQUIRE(grant);
    const Grant copy = *grant;
    const bool sick = copy.upstream.value == "u2";
    if (sick && failing && step > 40)
      ++in_use;
    fixture.End("d", copy,
                sick && failing ? Outcome::kFailed : Outcome::kServed);
  }
  BOOST_TEST(in_use <= 4);
  BOOST_TEST((fixture.Upstream("u2").standing == Standing::kTrusted));
}

// Guards against failures with a common cause that suspend so many upstreams
// that the others cannot carry the load.
BOOST_AUTO_TEST_CASE(SuspendedUpstreamsAreUsedBelowTheFloor) {
  Fixture fixture(4, 3);
  fixture.Warm(20);
  for (auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams) {
    upstream.standing = Standing::kSuspended;
    upstream.suspended_until = fixture.now + seconds(60);
  }
  BOOST_TEST(fixture.AskFor("d", fixture.MakeAsk(false)));
}

// Guards against more retries than the deployment allows while every upstream
// sheds requests. In any ten seconds, the retries may be a fifth of the
// requests plus the allowance.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  Fixture fixture(8, 6);
  fixture.dispatcher.settings.retry_ratio = 0.2;
  fixture.dispatcher.settings.retry_allowance = 50;
  fixture.Warm(20);
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    fixture.now += milliseconds(10);
    const Grant* grant = fixture.AskFor("d", fixture.MakeAsk(true));
    if (grant) {
      const Grant copy = *grant;
      fixture.End("d", copy, Outcome::kShed);
    }
    Ask retry = fixture.MakeAsk(true);
    retry.is_retry = true;
    const Grant* second = fixture.AskFor("d", retry);
    if (second) {
      const Grant copy = *second;
      ++retries;
      fixture.End("d", copy, Outcome::kShed);
    }
  }
  BOOST_TEST(retries <= 0.2 * kRequests + 50);
  BOOST_TEST(retries >= 0.1 * kRequests);
}

// Guards against a request that its caller sends again and again and that
// crashes one upstream after the other.
BOOST_AUTO_TEST_CASE(RequestsThatCrashUpstreamsAreRefused) {
  Fixture fixture(8, 3);
  fixture.Warm(20);
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    Ask ask = fixture.MakeAsk(false);
    ask.fingerprint = {77};
    const Grant* grant = fixture.AskFor("d", ask);
    if (!grant)
      break;
    const Grant copy = *grant;
    ++sent;
    fixture.End("d", copy, Outcome::kBroken);
    // The upstream has crashed, so the next connection to it is refused.
    Running probe;
    Report refused;
    refused.attempt = {fixture.next_attempt++};
    refused.upstream = copy.upstream;
    refused.outcome = Outcome::kRefused;
    probe.daemon = {"e"};
    probe.attempt = refused.attempt;
    probe.upstream = copy.upstream;
    probe.shard = {kService, 0, 1};
    probe.work = ask.work;
    probe.expires_at = fixture.now + seconds(5);
    fixture.dispatcher.running[{{"e"}, refused.attempt}] = probe;
    OnReport(fixture.dispatcher, {"e"}, refused, fixture.now, fixture.rng);
    fixture.now += milliseconds(100);
  }
  BOOST_TEST(sent == 3);
  BOOST_REQUIRE(fixture.LastRefusal());
  BOOST_TEST(
      (fixture.LastRefusal()->reason == RefusalReason::kCrashesUpstreams));
  BOOST_TEST(fixture.AskFor("d", fixture.MakeAsk(false)));
}

// Guards against new requests for an upstream that is shutting down.
BOOST_AUTO_TEST_CASE(DrainingUpstreamsGetNoNewRequests) {
  Fixture fixture(2, 3);
  fleet::UpstreamRecord draining = RecordOf("u0", 3);
  draining.entry.phase = fleet::UpstreamPhase::kDraining;
  draining.changed = {5};
  OnUpstream(fixture.dispatcher, draining, fixture.now, fixture.rng);
  for (int i = 0; i < 3; ++i) {
    const Grant* grant = fixture.AskFor("d", fixture.MakeAsk(false));
    BOOST_REQUIRE(grant);
    BOOST_TEST(grant->upstream.value == "u1");
  }
  BOOST_TEST(!fixture.AskFor("d", fixture.MakeAsk(false)));
}

// Guards against overfilling upstreams that another dispatcher uses at the same
// time, after one dispatcher has taken over from the other.
BOOST_AUTO_TEST_CASE(ReportedLoadOfOtherDispatchersTakesSlots) {
  Fixture fixture(1, 3);
  const Grant grant = *fixture.AskFor("d", fixture.MakeAsk(true));
  Report report;
  report.attempt = grant.attempt;
  report.upstream = grant.upstream;
  report.outcome = Outcome::kServed;
  report.duration = milliseconds(200);
  report.has_load = true;
  report.load = {3, 1, 3};
  OnReport(fixture.dispatcher, {"d"}, report, fixture.now, fixture.rng);
  BOOST_TEST(!fixture.AskFor("d", fixture.MakeAsk(true)));
  fixture.now += seconds(2);
  BOOST_TEST(fixture.AskFor("d", fixture.MakeAsk(true)));
}

// Guards against an upstream that has recovered but receives no trial request
// while others have free slots, because requests from before its suspension are
// still unanswered.
BOOST_AUTO_TEST_CASE(TrialsIgnoreEarlierUnansweredRequests) {
  Fixture fixture(6, 6);
  fixture.Warm(60);
  UpstreamState& hung =
      fixture.dispatcher.shards.at({kService}).upstreams.at({"u0"});
  hung.standing = Standing::kSuspended;
  hung.suspended_until = fixture.now;
  hung.granted_since_answer = 6;
  OnTick(fixture.dispatcher, fixture.now, fixture.rng);
  OnProbe(fixture.dispatcher, kService, {"u0"}, true, fixture.now);
  const Grant* grant = fixture.AskFor("d", fixture.MakeAsk(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value == "u0");
}

// Guards against an upstream that receives no trial request for seconds,
// because non-repeatable requests that have hung there since before its
// suspension wait for their deadlines.
BOOST_AUTO_TEST_CASE(TrialsDoNotWaitForStalledAttempts) {
  Fixture fixture(6, 6);
  fixture.Warm(60);
  UpstreamState& hung = fixture.Upstream("u0");
  hung.standing = Standing::kSuspended;
  hung.suspended_until = fixture.now;
  hung.running = 4;
  hung.stalled = 4;
  hung.granted_at.assign(4, fixture.now - seconds(1));
  OnTick(fixture.dispatcher, fixture.now, fixture.rng);
  OnProbe(fixture.dispatcher, kService, {"u0"}, true, fixture.now);
  const Grant* grant = fixture.AskFor("d", fixture.MakeAsk(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value == "u0");
  // The trial begins with one request at a time.
  grant = fixture.AskFor("d", fixture.MakeAsk(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value != "u0");
}

}  // namespace poplarfork::dispatch
