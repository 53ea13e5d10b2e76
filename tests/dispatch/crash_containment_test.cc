#include <map>
#include <vector>

#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

// A request that crashes the upstreams that run it, and the upstreams' hosts,
// which refuse connections afterwards.
struct CrashFixture : DispatchFixture {
  CrashFixture() : DispatchFixture(25, 6) { this->ServeRequests(60); }

  SlotRequest MakeCrashingRequest(bool is_retry) {
    SlotRequest slot_request = this->MakeSlotRequest(true);
    slot_request.fingerprints.call = {77};
    slot_request.is_retry = is_retry;
    if (is_retry)
      slot_request.avoid = {this->last_upstream};
    return slot_request;
  }

  // Answers the probes that the last event has started.
  void AnswerProbes(ProbeResult result) {
    for (const Action& action : Actions(this->actions)) {
      const auto* probe = std::get_if<StartProbe>(&action);
      if (!probe)
        continue;
      ++this->probes;
      this->actions = OnProbeResult(this->dispatcher, kService, probe->upstream,
                                    result, this->now);
    }
  }

  // Sends the request once; it breaks its connection. Returns false if it is
  // refused.
  bool SendOnce(bool is_retry, ProbeResult result) {
    const Grant* grant =
        this->RequestSlot("d", this->MakeCrashingRequest(is_retry));
    if (!grant)
      return false;
    const Grant copy = *grant;
    this->last_upstream = copy.upstream;
    ++this->breaks;
    this->EndAttempt("d", copy, Outcome::kConnectionBroken);
    this->AnswerProbes(result);
    return true;
  }

  // A caller sends the request and a gateway retries it.
  void Send(ProbeResult result) {
    if (this->SendOnce(false, result))
      this->SendOnce(true, result);
    this->now += seconds(2);
  }

  base::UpstreamId last_upstream;
  int breaks = 0;
  int probes = 0;
};

}  // namespace

// Guards against a request that its caller sends again and again and that
// crashes one upstream after the other.
BOOST_AUTO_TEST_CASE(RequestsThatCrashUpstreamsAreRefused) {
  DispatchFixture fixture(8, 3);
  fixture.ServeRequests(20);
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    SlotRequest slot_request = fixture.MakeSlotRequest(false);
    slot_request.fingerprints.call = {77};
    const Grant* grant = fixture.RequestSlot("d", slot_request);
    if (!grant)
      break;
    const Grant copy = *grant;
    ++sent;
    fixture.EndAttempt("d", copy, Outcome::kConnectionBroken);
    // The upstream has crashed, so the next connection to it is refused.
    RunningAttempt other_attempt;
    AttemptReport refused;
    refused.attempt_id = {fixture.next_attempt_id++};
    refused.upstream = copy.upstream;
    refused.outcome = Outcome::kConnectionRefused;
    other_attempt.daemon = {"e"};
    other_attempt.attempt_id = refused.attempt_id;
    other_attempt.upstream = copy.upstream;
    other_attempt.shard = {kService, 0, 1};
    other_attempt.work_class = slot_request.work_class;
    other_attempt.expires_at = fixture.now + seconds(5);
    fixture.dispatcher.running_attempts[{{"e"}, refused.attempt_id}] =
        other_attempt;
    OnAttemptReport(fixture.dispatcher, {"e"}, refused, fixture.now,
                    fixture.rng);
    fixture.now += milliseconds(100);
  }
  BOOST_TEST(sent == 3);
  BOOST_REQUIRE(fixture.FindRefusal());
  BOOST_TEST(
      (fixture.FindRefusal()->reason == RefusalReason::kCrashesUpstreams));
  BOOST_TEST(fixture.RequestSlot("d", fixture.MakeSlotRequest(false)));
}

// Guards against a crashing request that is never contained, because no other
// request meets the crashed upstreams while many upstreams are idle.
BOOST_FIXTURE_TEST_CASE(CrashesOfIdleUpstreamsAreCounted, CrashFixture) {
  for (int i = 0; i < 10; ++i)
    this->Send(ProbeResult::kRefused);
  BOOST_TEST(this->breaks == 3);
  BOOST_REQUIRE(this->FindRefusal());
  BOOST_TEST((this->FindRefusal()->reason == RefusalReason::kCrashesUpstreams));
  BOOST_TEST(this->RequestSlot("d", this->MakeSlotRequest(false)));
}

// Guards against a crash that is missed because the upstream's process still
// listened when it was first probed.
BOOST_FIXTURE_TEST_CASE(EndingUpstreamsAreProbedAgain, CrashFixture) {
  this->SendOnce(false, ProbeResult::kUnhealthy);
  this->SendOnce(true, ProbeResult::kUnhealthy);
  BOOST_TEST(this->probes == 1);
  for (int i = 0; i < 6; ++i) {
    this->Advance(kTickInterval);
    this->AnswerProbes(ProbeResult::kRefused);
  }
  BOOST_TEST(this->dispatcher.crashes.at({77}).crashes == 2U);
}

// Guards against requests that are refused as crashing, and upstreams that are
// probed without end, because connections break while upstreams are healthy.
BOOST_FIXTURE_TEST_CASE(BrokenConnectionsOfHealthyUpstreamsAreNoCrashes,
                        CrashFixture) {
  for (int i = 0; i < 10; ++i)
    this->Send(ProbeResult::kHealthy);
  BOOST_TEST(this->breaks == 20);
  BOOST_TEST(this->probes <= 19);
  BOOST_TEST(this->dispatcher.crashes.at({77}).crashes == 0U);
}

// Guards against a request that is refused because upstreams crashed while they
// ran it, although others have served it.
BOOST_FIXTURE_TEST_CASE(ServedRequestsAreNotBlamedForCrashes, CrashFixture) {
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(this->SendOnce(false, ProbeResult::kRefused));
    const Grant* grant =
        this->RequestSlot("d", this->MakeCrashingRequest(true));
    BOOST_REQUIRE(grant);
    const Grant copy = *grant;
    this->EndAttempt("d", copy, Outcome::kServed);
    this->now += seconds(2);
  }
}

// Guards against several requests of one kind that run at the same upstream
// when it crashes and count as several crashes.
BOOST_FIXTURE_TEST_CASE(OneCrashCountsOnceForEachRequest, CrashFixture) {
  std::vector<Grant> grants;
  for (int i = 0; i < 100; ++i) {
    if (const Grant* grant =
            this->RequestSlot("d", this->MakeCrashingRequest(false)))
      grants.push_back(*grant);
  }
  const base::UpstreamId crashed = grants.front().upstream;
  for (const Grant& grant : grants) {
    if (grant.upstream == crashed) {
      this->EndAttempt("d", grant, Outcome::kConnectionBroken);
      ++this->breaks;
    }
  }
  BOOST_REQUIRE(this->breaks >= 2);
  OnProbeResult(this->dispatcher, kService, crashed, ProbeResult::kRefused,
                this->now);
  BOOST_TEST(this->dispatcher.crashes.at({77}).crashes == 1U);
}

// Guards against a request that is refused for ever because of the crashes of
// others, and against one that crashes upstreams each time its refusal ends.
BOOST_FIXTURE_TEST_CASE(CrashingRequestsAreAdmittedSeldom, CrashFixture) {
  for (int i = 0; i < 3600; ++i)
    this->Send(ProbeResult::kRefused);
  BOOST_TEST(this->breaks == 6);
  // Half of an hour without the request is not enough.
  this->now += std::chrono::minutes(30);
  this->Advance(seconds(1));
  BOOST_TEST(!this->SendOnce(false, ProbeResult::kRefused));
  this->now += std::chrono::minutes(61);
  this->Advance(seconds(1));
  BOOST_TEST(this->SendOnce(false, ProbeResult::kRefused));
}

}  // namespace poplarfork::dispatch
