#include "tests/dispatch/dispatch_fixture.h"

#include <vector>

#include "dispatch/admission_func.h"
#include "dispatch/outlier_detection_func.h"

namespace poplarfork::dispatch {

using Fixture = DispatchFixture;

// Guards against upstreams that receive more requests than they have slots
// while others are idle. Many daemons each send one request.
BOOST_AUTO_TEST_CASE(RequestsOfManyDaemonsUseAllSlotsAndNoMore) {
  Fixture fixture(5, 3);
  for (int i = 0; i < 15; ++i)
    BOOST_TEST(fixture.RequestSlot("d" + std::to_string(i),
                                   fixture.MakeSlotRequest(false)));
  for (const auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams)
    BOOST_TEST(upstream.running_count == 3U);
  BOOST_TEST(!fixture.RequestSlot("d16", fixture.MakeSlotRequest(false)));
}

// Guards against a lost datagram that occupies a slot or causes grants at two
// upstreams: the daemon then repeats its slot request.
BOOST_AUTO_TEST_CASE(RepeatedSlotRequestsGetTheSameReply) {
  Fixture fixture(2, 1);
  const SlotRequest slot_request = fixture.MakeSlotRequest(false);
  const Grant first = *fixture.RequestSlot("d", slot_request);
  const Grant second = *fixture.RequestSlot("d", slot_request);
  BOOST_TEST((first.upstream == second.upstream));
  BOOST_TEST(fixture.FindUpstream(first.upstream.value).running_count == 1U);
  fixture.RequestSlot("d", fixture.MakeSlotRequest(false));
  const SlotRequest queued = fixture.MakeSlotRequest(false);
  fixture.RequestSlot("d", queued);
  fixture.RequestSlot("d", queued);
  BOOST_TEST(fixture.dispatcher.shards.at({kService}).queue.size() == 1U);
}

// Guards against a slot that stays occupied because the report of its attempt
// was lost.
BOOST_AUTO_TEST_CASE(SlotsAreFreedWhenReportsAreLost) {
  Fixture fixture(1, 1);
  BOOST_TEST(fixture.RequestSlot("d", fixture.MakeSlotRequest(false)));
  fixture.Advance(seconds(3));
  BOOST_TEST(fixture.FindUpstream("u0").running_count == 0U);
}

// Guards against a queue in which every request becomes late. For three seconds
// the demand is twice what the slots can serve.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedAtOnceAndOtherRequestsAreOnTime) {
  Fixture fixture(4, 3);
  fixture.ServeRequests(40);
  struct RunningRequest {
    base::TimePoint ends_at;
    Grant grant;
    base::TimePoint late_at;
  };
  std::vector<RunningRequest> running;
  std::map<std::uint64_t, base::TimePoint> late_at;
  int refused = 0;
  int asked = 0;
  int on_time = 0;
  int late = 0;
  const base::Duration service_time = milliseconds(250);
  const auto handle_actions = [&](const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* grant = std::get_if<SendGrant>(&action))
        running.push_back({fixture.now + service_time, grant->grant,
                           late_at[grant->grant.attempt_id.value]});
      if (std::get_if<SendRefusal>(&action))
        ++refused;
    }
  };
  // The slots can serve 48 requests per second; 96 arrive.
  for (int step = 0; step < 300; ++step) {
    fixture.now += milliseconds(10);
    for (std::size_t i = 0; i < running.size();) {
      if (running[i].ends_at > fixture.now) {
        ++i;
        continue;
      }
      const RunningRequest ended = running[i];
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
      (ended.ends_at <= ended.late_at ? on_time : late) += 1;
      fixture.EndAttempt("d", ended.grant, Outcome::kServed, service_time);
      handle_actions(fixture.actions);
    }
    if (step % 25 == 24)
      continue;
    ++asked;
    const SlotRequest slot_request = fixture.MakeSlotRequest(step % 4 == 0);
    late_at[slot_request.attempt_id.value] =
        fixture.now + slot_request.until_late;
    fixture.RequestSlot("d", slot_request);
    handle_actions(fixture.actions);
  }
  BOOST_TEST_MESSAGE("asked " << asked << ", on time " << on_time << ", late "
                              << late << ", refused " << refused);
  // At best, 12 slots serve 4 requests per second each for 3 s. The first
  // requests complete after 250 ms, which leaves 2.75 s.
  BOOST_TEST(on_time >= 0.9 * 48 * 2.75);
  BOOST_TEST(late <= 0.05 * on_time);
  BOOST_TEST(refused > 0);
}

// Guards against refused requests that all return at the same moment, and
// against refusals without a time to return.
BOOST_AUTO_TEST_CASE(RetryAfterIsSpreadOverTime) {
  Fixture fixture(1, 1);
  fixture.ServeRequests(10);
  ShardState& shard_state = fixture.dispatcher.shards.at({kService});
  for (int i = 0; i < 4; ++i)
    fixture.RequestSlot("d", fixture.MakeSlotRequest(false));
  const base::Duration early = ComputeRetryAfter(shard_state, 0);
  const base::Duration late = ComputeRetryAfter(shard_state, 0.999);
  BOOST_TEST((early >= milliseconds(100)));
  BOOST_TEST((late > early));
  BOOST_TEST((late <= seconds(3)));
}

// Guards against non-repeatable requests that are lost at an upstream that
// hangs while its health probe succeeds. After the first second without a
// response, the upstream must receive no more requests.
BOOST_AUTO_TEST_CASE(SilentUpstreamsAreAvoidedBeforeTheDeadline) {
  Fixture fixture(4, 6);
  fixture.ServeRequests(40);
  int sent_to_stalled = 0;
  std::vector<std::pair<base::TimePoint, Grant>> running;
  for (int step = 0; step < 400; ++step) {
    fixture.Advance(milliseconds(50));
    for (std::size_t i = 0; i < running.size();) {
      if (running[i].first > fixture.now) {
        ++i;
        continue;
      }
      fixture.EndAttempt("d" + std::to_string(i), running[i].second,
                         Outcome::kServed);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    const std::string daemon = "d";
    const Grant* grant =
        fixture.RequestSlot(daemon, fixture.MakeSlotRequest(false));
    if (!grant)
      continue;
    if (grant->upstream.value == "u0")
      ++sent_to_stalled;
    else
      running.emplace_back(fixture.now + milliseconds(250), *grant);
    if (step == 60)
      break;
  }
  // These are three seconds at 20 requests per second; an even distribution
  // would send 15 to the upstream.
  BOOST_TEST(sent_to_stalled <= 5);
}

// Guards against healthy upstreams that are suspended because the network paths
// of one daemon, or between one daemon and one upstream, are cut.
BOOST_AUTO_TEST_CASE(FailuresOfOneDaemonSuspendNoUpstream) {
  Fixture fixture(6, 6);
  fixture.ServeRequests(60);
  for (int i = 0; i < 30; ++i) {
    fixture.now += milliseconds(30);
    const Grant* isolated_grant =
        fixture.RequestSlot("cut", fixture.MakeSlotRequest(true));
    if (isolated_grant) {
      const Grant copy = *isolated_grant;
      fixture.EndAttempt("cut", copy, Outcome::kUnreachable);
    }
    const Grant* healthy_grant =
        fixture.RequestSlot("sound", fixture.MakeSlotRequest(true));
    BOOST_REQUIRE(healthy_grant);
    const Grant copy = *healthy_grant;
    fixture.EndAttempt("sound", copy, Outcome::kServed);
  }
  for (const auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams)
    BOOST_TEST((upstream.health_status == HealthStatus::kHealthy));
}

// Guards against a dead upstream at which every daemon has to see a failed
// connection before it is suspended.
BOOST_AUTO_TEST_CASE(RefusedConnectionsSuspendAnUpstreamAtOnce) {
  Fixture fixture(3, 3);
  fixture.ServeRequests(30);
  fixture.now += seconds(1);
  for (int i = 0; i < 6; ++i) {
    const Grant* grant = fixture.RequestSlot("d" + std::to_string(i),
                                             fixture.MakeSlotRequest(false));
    BOOST_REQUIRE(grant);
    const Grant copy = *grant;
    if (copy.upstream.value == "u1")
      fixture.EndAttempt("d" + std::to_string(i), copy,
                         Outcome::kConnectionRefused);
  }
  BOOST_TEST(
      (fixture.FindUpstream("u1").health_status == HealthStatus::kSuspended));
  BOOST_TEST(
      (fixture.FindUpstream("u0").health_status == HealthStatus::kHealthy));
}

// Guards against an upstream that fails half of its requests and stays in use,
// and against an upstream that has recovered and stays suspended.
BOOST_AUTO_TEST_CASE(FailingUpstreamsAreSuspendedAndReinstated) {
  Fixture fixture(4, 6);
  fixture.ServeRequests(40);
  bool failing = true;
  int sent_while_failing = 0;
  for (int step = 0; step < 240; ++step) {
    if (step == 100)
      failing = false;
    fixture.Advance(milliseconds(50));
    for (const Action& action : Actions(fixture.actions)) {
      if (const auto* probe = std::get_if<StartProbe>(&action))
        OnProbeResult(fixture.dispatcher, probe->service, probe->upstream,
                      ProbeResult::kHealthy, fixture.now);
    }
    const Grant* grant =
        fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
    BOOST_REQUIRE(grant);
    const Grant copy = *grant;
    const bool is_failing_upstream = copy.upstream.value == "u2";
    if (is_failing_upstream && failing && step > 40)
      ++sent_while_failing;
    fixture.EndAttempt(
        "d", copy,
        is_failing_upstream && failing ? Outcome::kFailed : Outcome::kServed);
  }
  BOOST_TEST(sent_while_failing <= 4);
  BOOST_TEST(
      (fixture.FindUpstream("u2").health_status == HealthStatus::kHealthy));
}

// Guards against failures with a common cause that suspend so many upstreams
// that the others cannot carry the load.
BOOST_AUTO_TEST_CASE(SuspendedUpstreamsAreUsedBelowTheFloor) {
  Fixture fixture(4, 3);
  fixture.ServeRequests(20);
  for (auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams) {
    upstream.health_status = HealthStatus::kSuspended;
    upstream.suspended_until = fixture.now + seconds(60);
  }
  BOOST_TEST(fixture.RequestSlot("d", fixture.MakeSlotRequest(false)));
}

// Guards against more retries than the deployment allows while every upstream
// sheds requests. In any ten seconds, the retries may be a fifth of the
// requests plus the allowance.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  Fixture fixture(8, 6);
  fixture.dispatcher.settings.retry_ratio = 0.2;
  fixture.dispatcher.settings.retry_allowance = 50;
  fixture.ServeRequests(20);
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    fixture.now += milliseconds(10);
    const Grant* grant =
        fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
    if (grant) {
      const Grant copy = *grant;
      fixture.EndAttempt("d", copy, Outcome::kShed);
    }
    SlotRequest retry = fixture.MakeSlotRequest(true);
    retry.is_retry = true;
    const Grant* second = fixture.RequestSlot("d", retry);
    if (second) {
      const Grant copy = *second;
      ++retries;
      fixture.EndAttempt("d", copy, Outcome::kShed);
    }
  }
  BOOST_TEST(retries <= 0.2 * kRequests + 50);
  BOOST_TEST(retries >= 0.1 * kRequests);
}

// Guards against new requests for an upstream that is shutting down.
BOOST_AUTO_TEST_CASE(DrainingUpstreamsGetNoNewRequests) {
  Fixture fixture(2, 3);
  fleet::UpstreamRecord draining = MakeUpstreamRecord("u0", 3);
  draining.entry.phase = fleet::UpstreamPhase::kDraining;
  draining.change_revision = {5};
  OnUpstreamRecord(fixture.dispatcher, draining, fixture.now, fixture.rng);
  for (int i = 0; i < 3; ++i) {
    const Grant* grant =
        fixture.RequestSlot("d", fixture.MakeSlotRequest(false));
    BOOST_REQUIRE(grant);
    BOOST_TEST(grant->upstream.value == "u1");
  }
  BOOST_TEST(!fixture.RequestSlot("d", fixture.MakeSlotRequest(false)));
}

// Guards against overfilling upstreams that another dispatcher uses at the same
// time, after one dispatcher has taken over from the other.
BOOST_AUTO_TEST_CASE(ReportedLoadOfOtherDispatchersTakesSlots) {
  Fixture fixture(1, 3);
  const Grant grant = *fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  AttemptReport report;
  report.attempt_id = grant.attempt_id;
  report.upstream = grant.upstream;
  report.outcome = Outcome::kServed;
  report.duration = milliseconds(200);
  report.has_reported_load = true;
  report.reported_load = {3, 1, 3};
  OnAttemptReport(fixture.dispatcher, {"d"}, report, fixture.now, fixture.rng);
  BOOST_TEST(!fixture.RequestSlot("d", fixture.MakeSlotRequest(true)));
  fixture.now += seconds(2);
  BOOST_TEST(fixture.RequestSlot("d", fixture.MakeSlotRequest(true)));
}

// Guards against an upstream that has recovered but receives no trial request
// while others have free slots, because requests from before its suspension are
// still unanswered.
BOOST_AUTO_TEST_CASE(TrialsIgnoreEarlierUnansweredRequests) {
  Fixture fixture(6, 6);
  fixture.ServeRequests(60);
  UpstreamState& stalled_upstream =
      fixture.dispatcher.shards.at({kService}).upstreams.at({"u0"});
  stalled_upstream.health_status = HealthStatus::kSuspended;
  stalled_upstream.suspended_until = fixture.now;
  stalled_upstream.open_attempts.assign(
      6, {fixture.now - milliseconds(600), milliseconds(250)});
  OnTick(fixture.dispatcher, fixture.now, fixture.rng);
  OnProbeResult(fixture.dispatcher, kService, {"u0"}, ProbeResult::kHealthy,
                fixture.now);
  const Grant* grant = fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value == "u0");
}

// Guards against an upstream that receives no trial request for seconds,
// because non-repeatable requests that have hung there since before its
// suspension wait for their deadlines.
BOOST_AUTO_TEST_CASE(TrialsDoNotWaitForStalledAttempts) {
  Fixture fixture(6, 6);
  fixture.ServeRequests(60);
  UpstreamState& stalled_upstream = fixture.FindUpstream("u0");
  stalled_upstream.health_status = HealthStatus::kSuspended;
  stalled_upstream.suspended_until = fixture.now;
  stalled_upstream.running_count = 4;
  stalled_upstream.stalled_count = 4;
  stalled_upstream.open_attempts.assign(4, {fixture.now - seconds(1), {}});
  OnTick(fixture.dispatcher, fixture.now, fixture.rng);
  OnProbeResult(fixture.dispatcher, kService, {"u0"}, ProbeResult::kHealthy,
                fixture.now);
  const Grant* grant = fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value == "u0");
  // The trial begins with one request at a time.
  grant = fixture.RequestSlot("d", fixture.MakeSlotRequest(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value != "u0");
}

// Guards against healthy upstreams that are suspended, and slots that stay in
// use, because most gateways have lost power with requests in progress.
BOOST_AUTO_TEST_CASE(AttemptsOfDeadDaemonsShowNothingAboutUpstreams) {
  Fixture fixture(8, 3);
  fixture.ServeRequests(60);
  for (int i = 0; i < 24; ++i)
    BOOST_REQUIRE(fixture.RequestSlot("d" + std::to_string(i),
                                      fixture.MakeSlotRequest(false)));
  fixture.KillDaemons();
  fixture.Advance(seconds(1));
  for (const auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams) {
    BOOST_TEST((upstream.health_status == HealthStatus::kHealthy));
    BOOST_TEST(upstream.stalled_count == 0U);
    BOOST_TEST(upstream.running_count == 0U);
  }
}

}  // namespace poplarfork::dispatch
