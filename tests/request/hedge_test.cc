#include "tests/request/request_fixture.h"

namespace poplarfork::request {

namespace {

constexpr base::Duration kHedgeAfter = milliseconds(300);

// A repeatable request whose first attempt runs at "u" and may be hedged.
struct HedgedRequest : RequestFixture {
  explicit HedgedRequest(std::uint32_t max_attempts = 3)
      : RequestFixture(true, max_attempts) {
    this->GrantSlot("u", kHedgeAfter);
  }

  // Lets the hedge fall due, so that a slot is requested for it.
  void RequestHedge() {
    BOOST_TEST((NextTimerAt(this->request) == kStart + kHedgeAfter));
    this->AdvanceTime(kHedgeAfter);
    const auto* slot_request = this->FindAction<SendSlotRequest>();
    BOOST_REQUIRE(slot_request);
    BOOST_TEST(slot_request->slot_request.is_hedge);
    BOOST_TEST(slot_request->slot_request.is_retry);
    BOOST_REQUIRE(slot_request->slot_request.avoid.size() == 1U);
    BOOST_TEST(slot_request->slot_request.avoid[0].value == "u");
  }

  // Lets the hedge start at "v".
  void StartHedge() {
    this->RequestHedge();
    this->GrantSlot("v");
    BOOST_TEST(!this->FindAction<CancelAttempt>());
    const auto* start = this->FindAction<StartAttempt>();
    BOOST_REQUIRE(start);
    BOOST_TEST(start->attempt.is_hedge);
    BOOST_TEST(this->request.attempts.size() == 2U);
  }
};

}  // namespace

// Guards against a request that waits for the hanging one of its upstreams,
// against two responses, and against an attempt that goes on after the other
// has completed the request.
BOOST_AUTO_TEST_CASE(TheFirstValidResponseEndsBothAttempts) {
  for (const std::string winner : {"u", "v"}) {
    const std::string loser = winner == "u" ? "v" : "u";
    HedgedRequest fixture;
    fixture.StartHedge();
    const dispatch::AttemptId loser_id =
        fixture.request.attempts[loser == "u" ? 0 : 1].id;
    fixture.now += milliseconds(100);
    fixture.EndAttempt(AttemptResult::kCompleted, winner);
    BOOST_TEST(fixture.FindAction<DeliverResponse>());
    BOOST_REQUIRE(fixture.FindAction<CancelAttempt>());
    BOOST_TEST((fixture.FindAction<CancelAttempt>()->attempt_id == loser_id));
    const dispatch::AttemptReport report = fixture.FindReport(loser);
    BOOST_TEST((report.outcome == dispatch::Outcome::kCancelled));
    BOOST_TEST((report.duration == milliseconds(loser == "u" ? 400 : 100)));
    BOOST_TEST((fixture.request.phase == Phase::kEnded));
    BOOST_TEST(fixture.request.hedge_counts.won == (winner == "v" ? 1U : 0U));
    // The response of the other attempt may have arrived at the same time.
    AttemptEnd late;
    late.attempt_id = loser_id;
    late.result = AttemptResult::kCompleted;
    BOOST_TEST(OnAttemptEnd(fixture.request, late, fixture.context, fixture.now)
                   .empty());
  }
}

// Guards against a hedge that is sent although the first attempt has answered
// while its slot was being granted, and against its slot remaining in use.
BOOST_AUTO_TEST_CASE(HedgesAreNotSentAfterTheResponse) {
  HedgedRequest fixture;
  fixture.RequestHedge();
  const dispatch::AttemptId hedge = fixture.request.slot_request_id;
  fixture.EndAttempt(AttemptResult::kCompleted);
  BOOST_TEST(fixture.FindAction<DeliverResponse>());
  BOOST_REQUIRE(fixture.FindAction<SendWithdrawal>());
  BOOST_TEST(
      (fixture.FindAction<SendWithdrawal>()->withdrawal.attempt_id == hedge));
  fixture.GrantSlot("v");
  BOOST_TEST(!fixture.FindAction<StartAttempt>());
  BOOST_REQUIRE(fixture.actions.size() == 1U);
  BOOST_TEST((fixture.FindAction<SendAttemptReport>()->report.outcome ==
              dispatch::Outcome::kUnused));
}

// Guards against one failed attempt that ends the request while the other one
// may still answer.
BOOST_AUTO_TEST_CASE(OneFailedAttemptEndsNothing) {
  for (const std::string failed : {"u", "v"}) {
    for (const AttemptResult result :
         {AttemptResult::kFailed, AttemptResult::kConnectionBroken,
          AttemptResult::kNotConnected, AttemptResult::kNotRun}) {
      HedgedRequest fixture;
      fixture.StartHedge();
      fixture.EndAttempt(result, failed);
      BOOST_TEST(fixture.actions.size() == 1U);
      BOOST_TEST(fixture.FindAction<SendAttemptReport>());
      BOOST_TEST((fixture.request.phase == Phase::kRunning));
      fixture.EndAttempt(AttemptResult::kCompleted);
      BOOST_TEST(fixture.FindAction<DeliverResponse>());
      BOOST_TEST(!fixture.FindAction<CancelAttempt>());
    }
  }
}

// Guards against more attempts than the route allows after both have failed,
// and against a lost failure response.
BOOST_AUTO_TEST_CASE(TwoFailedAttemptsCountAsTwo) {
  HedgedRequest two_allowed(2);
  two_allowed.StartHedge();
  two_allowed.EndAttempt(AttemptResult::kFailed, "u");
  two_allowed.EndAttempt(AttemptResult::kConnectionBroken, "v");
  BOOST_TEST(!two_allowed.FindAction<SendSlotRequest>());
  BOOST_TEST(two_allowed.FindAction<DeliverFailureResponse>());

  HedgedRequest three_allowed(3);
  three_allowed.StartHedge();
  three_allowed.EndAttempt(AttemptResult::kConnectionBroken, "v");
  three_allowed.EndAttempt(AttemptResult::kConnectionBroken, "u");
  const auto* slot_request = three_allowed.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(slot_request->slot_request.is_retry);
  BOOST_TEST(!slot_request->slot_request.is_hedge);
  three_allowed.RefuseSlot(dispatch::RefusalReason::kRetryBudget);
  BOOST_REQUIRE(three_allowed.FindAction<RespondWithFailure>());
  BOOST_TEST(!three_allowed.FindAction<RespondWithFailure>()->not_run);
}

// Guards against the promise "not run" while one of two attempts may have run,
// and against its loss when neither has.
BOOST_AUTO_TEST_CASE(NotRunIsPromisedOnlyIfNeitherAttemptHasRun) {
  for (const bool one_ran : {false, true}) {
    HedgedRequest fixture(2);
    fixture.StartHedge();
    fixture.EndAttempt(
        one_ran ? AttemptResult::kConnectionBroken : AttemptResult::kNotRun,
        "u");
    fixture.EndAttempt(AttemptResult::kNotRun, "v");
    const auto* failure = fixture.FindAction<RespondWithFailure>();
    BOOST_REQUIRE(failure);
    BOOST_TEST(failure->not_run == !one_ran);
  }
}

// Guards against a refused hedge that ends the request or cancels its first
// attempt, and against a request that gets no retry because a hedge was
// refused.
BOOST_AUTO_TEST_CASE(ARefusedHedgeLeavesTheRetry) {
  for (const dispatch::RefusalReason reason :
       {dispatch::RefusalReason::kHedgeBudget,
        dispatch::RefusalReason::kOverload,
        dispatch::RefusalReason::kNotReady}) {
    HedgedRequest fixture;
    fixture.RequestHedge();
    fixture.RefuseSlot(reason);
    BOOST_TEST(fixture.actions.empty());
    BOOST_TEST((NextTimerAt(fixture.request) == kStart + milliseconds(500)));
    fixture.AdvanceTime(milliseconds(200));
    BOOST_TEST(
        (fixture.FindReport("u").outcome == dispatch::Outcome::kStillRunning));
    const auto* slot_request = fixture.FindAction<SendSlotRequest>();
    BOOST_REQUIRE(slot_request);
    BOOST_TEST(slot_request->slot_request.is_retry);
    BOOST_TEST(!slot_request->slot_request.is_hedge);
    fixture.GrantSlot("w");
    BOOST_TEST(!fixture.FindAction<CancelAttempt>());
    BOOST_TEST(fixture.request.attempts.size() == 2U);
    fixture.now += milliseconds(100);
    fixture.EndAttempt(AttemptResult::kCompleted, "w");
    BOOST_TEST(fixture.FindAction<CancelAttempt>());
    // At this age, the dispatcher counts the attempt as stalled.
    BOOST_TEST(
        (fixture.FindReport("u").outcome == dispatch::Outcome::kCancelled));
    BOOST_TEST((fixture.FindReport("u").duration == milliseconds(600)));
    BOOST_TEST(fixture.request.attempts.empty());
  }
}

// Guards against a retry that is not requested at its time because the refusal
// of the hedge arrives later.
BOOST_AUTO_TEST_CASE(ALateRefusalIsFollowedByTheRetry) {
  HedgedRequest fixture;
  fixture.RequestHedge();
  fixture.now += milliseconds(200);
  fixture.RefuseSlot(dispatch::RefusalReason::kNoUpstream);
  const auto* slot_request = fixture.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(!slot_request->slot_request.is_hedge);
}

// Guards against a request that fails with its first attempt although a hedge
// has been requested, whether that is granted or refused.
BOOST_AUTO_TEST_CASE(TheFirstAttemptMayFailWhileTheHedgeIsRequested) {
  HedgedRequest granted;
  granted.RequestHedge();
  granted.EndAttempt(AttemptResult::kConnectionBroken);
  BOOST_TEST(!granted.FindAction<RespondWithFailure>());
  granted.GrantSlot("v");
  BOOST_TEST(granted.FindAction<StartAttempt>());
  BOOST_TEST(!granted.FindAction<CancelAttempt>());

  HedgedRequest refused;
  refused.RequestHedge();
  refused.EndAttempt(AttemptResult::kConnectionBroken);
  refused.RefuseSlot(dispatch::RefusalReason::kHedgeBudget);
  const auto* slot_request = refused.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(slot_request->slot_request.is_retry);
  BOOST_TEST(!slot_request->slot_request.is_hedge);
}

// Guards against two hanging upstreams that are waited for until the deadline,
// against more attempts than the route allows, and against attempts that are
// given up before the request has its response.
BOOST_AUTO_TEST_CASE(StalledAttemptsGoOnBesideTheNext) {
  HedgedRequest fixture;
  fixture.StartHedge();
  // The first attempt has stalled, the hedge not yet.
  fixture.AdvanceTime(milliseconds(200));
  BOOST_TEST(fixture.actions.size() == 1U);
  BOOST_TEST(
      (fixture.FindReport("u").outcome == dispatch::Outcome::kStillRunning));
  BOOST_TEST((NextTimerAt(fixture.request) == kStart + milliseconds(800)));
  fixture.AdvanceTime(milliseconds(300));
  BOOST_TEST(
      (fixture.FindReport("v").outcome == dispatch::Outcome::kStillRunning));
  const auto* slot_request = fixture.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(!slot_request->slot_request.is_hedge);
  fixture.GrantSlot("w");
  BOOST_TEST(fixture.FindAction<StartAttempt>());
  BOOST_TEST(!fixture.FindAction<CancelAttempt>());
  BOOST_TEST(fixture.request.attempts.size() == 3U);
  // The route allows three.
  fixture.AdvanceTime(milliseconds(600));
  BOOST_TEST(!fixture.FindAction<SendSlotRequest>());
  fixture.EndAttempt(AttemptResult::kCompleted, "w");
  BOOST_TEST(fixture.FindAction<DeliverResponse>());
  BOOST_TEST(fixture.request.attempts.empty());
  // Their dispatchers judge by the age whether the upstreams were slow.
  for (const std::string upstream : {"u", "v"})
    BOOST_TEST((fixture.FindReport(upstream).outcome ==
                dispatch::Outcome::kCancelled));
  BOOST_TEST((fixture.FindReport("v").duration == milliseconds(1100)));
}

// Guards against a hedge that is lost, or holds the request, because its
// dispatcher has disappeared.
BOOST_AUTO_TEST_CASE(HedgesAreRequestedFromTheNextDispatcher) {
  HedgedRequest fixture;
  fixture.RequestHedge();
  const dispatch::AttemptId first = fixture.request.slot_request_id;
  for (int i = 0; i < 40 && fixture.request.slot_request_id == first; ++i)
    fixture.AdvanceTime(milliseconds(5));
  BOOST_TEST((fixture.request.asked_dispatcher == fixture.next_dispatcher));
  BOOST_TEST(fixture.FindAction<SendWithdrawal>());
  const auto* slot_request = fixture.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(slot_request->slot_request.is_hedge);
  // A late grant of the first dispatcher is not used.
  dispatch::Grant late;
  late.attempt_id = first;
  late.upstream = {"v"};
  fixture.actions =
      OnGrant(fixture.request, fixture.dispatcher, late, fixture.now);
  BOOST_TEST(!fixture.FindAction<StartAttempt>());
  BOOST_TEST((fixture.FindReport("v").outcome == dispatch::Outcome::kUnused));
  BOOST_TEST(fixture.request.attempts.size() == 1U);
}

// Guards against attempts that go on after their caller has disconnected.
BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsBothAttempts) {
  HedgedRequest fixture;
  fixture.StartHedge();
  fixture.actions = OnCallerDisconnected(fixture.request);
  std::size_t cancelled = 0;
  for (const Action& action : fixture.actions)
    cancelled += std::holds_alternative<CancelAttempt>(action) ? 1 : 0;
  BOOST_TEST(cancelled == 2U);
  for (const std::string upstream : {"u", "v"})
    BOOST_TEST((fixture.FindReport(upstream).outcome ==
                dispatch::Outcome::kCancelled));

  HedgedRequest requesting;
  requesting.RequestHedge();
  requesting.actions = OnCallerDisconnected(requesting.request);
  BOOST_TEST(requesting.FindAction<CancelAttempt>());
  BOOST_TEST(requesting.FindAction<SendWithdrawal>());
}

// Guards against an attempt that goes on after the deadline, or after the
// earlier deadline of a draining gateway, and against a hedge that counts as
// stalled although it was sent a moment ago.
BOOST_AUTO_TEST_CASE(DeadlinesEndBothAttempts) {
  HedgedRequest fixture;
  fixture.StartHedge();
  fixture.request.arrival.deadline = fixture.now + milliseconds(50);
  fixture.AdvanceTime(milliseconds(50));
  const auto* failure = fixture.FindAction<RespondWithFailure>();
  BOOST_REQUIRE(failure);
  BOOST_TEST((failure->failure == Failure::kTimeout));
  BOOST_TEST(!failure->not_run);
  BOOST_TEST((fixture.FindReport("u").outcome == dispatch::Outcome::kStalled));
  BOOST_TEST(
      (fixture.FindReport("v").outcome == dispatch::Outcome::kCancelled));
  BOOST_TEST((fixture.FindReport("v").duration == milliseconds(50)));

  // A process that was paused gets the grant after the deadline.
  HedgedRequest paused;
  paused.RequestHedge();
  paused.now += seconds(5);
  paused.GrantSlot("v");
  BOOST_TEST(!paused.FindAction<StartAttempt>());
  BOOST_TEST((paused.FindReport("v").outcome == dispatch::Outcome::kUnused));
  BOOST_REQUIRE(paused.FindAction<RespondWithFailure>());
  BOOST_TEST(!paused.FindAction<RespondWithFailure>()->not_run);
}

// Guards against a hedge shortly before the deadline, which could not answer in
// time.
BOOST_AUTO_TEST_CASE(HedgesWithoutTimeAreNotRequested) {
  HedgedRequest fixture;
  fixture.request.arrival.deadline = kStart + kHedgeAfter + milliseconds(50);
  fixture.AdvanceTime(kHedgeAfter);
  BOOST_TEST(fixture.actions.empty());
  BOOST_TEST(
      (NextTimerAt(fixture.request) == fixture.request.arrival.deadline));
}

// Guards against more attempts than the route allows.
BOOST_AUTO_TEST_CASE(HedgesCountTowardsMaxAttempts) {
  HedgedRequest fixture(1);
  fixture.AdvanceTime(kHedgeAfter);
  BOOST_TEST(fixture.actions.empty());
}

// Guards against an order that is sent to two upstreams, even if a dispatcher
// permits it.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsAreNeverHedged) {
  RequestFixture fixture(false, 5);
  fixture.GrantSlot("u", kHedgeAfter);
  while (fixture.request.phase != Phase::kEnded) {
    fixture.AdvanceTime(milliseconds(50));
    BOOST_TEST(!fixture.FindAction<SendSlotRequest>());
  }
}

// Guards against a hedge at an upstream that is known to be leaving, and
// against a hedge that is requested again and again.
BOOST_AUTO_TEST_CASE(HedgesAtLeavingUpstreamsAreReturned) {
  HedgedRequest fixture;
  fixture.RequestHedge();
  fixture.GrantSlotAtLeaving("v");
  BOOST_TEST(!fixture.FindAction<StartAttempt>());
  BOOST_TEST(!fixture.FindAction<SendSlotRequest>());
  BOOST_TEST(fixture.FindReport("v").notice.is_leaving);
  BOOST_TEST((fixture.request.phase == Phase::kRunning));
  fixture.EndAttempt(AttemptResult::kCompleted);
  BOOST_TEST(fixture.FindAction<DeliverResponse>());
}

// Guards against a look-up that is lost although an upstream works on it: its
// first attempt was given up when the retry was granted, and the retry failed.
BOOST_AUTO_TEST_CASE(FailedRetriesLeaveTheFirstAttempt) {
  for (const AttemptResult result :
       {AttemptResult::kConnectionBroken, AttemptResult::kInvalidResponse,
        AttemptResult::kNotRun, AttemptResult::kNotConnected}) {
    RequestFixture fixture(true);
    fixture.GrantSlot("u");
    BOOST_TEST((NextTimerAt(fixture.request) == kStart + milliseconds(500)));
    fixture.AdvanceTime(milliseconds(500));
    BOOST_REQUIRE(fixture.FindAction<SendSlotRequest>());
    BOOST_TEST(!fixture.FindAction<SendSlotRequest>()->slot_request.is_hedge);
    fixture.GrantSlot("v");
    BOOST_TEST(!fixture.FindAction<CancelAttempt>());
    BOOST_TEST(fixture.request.attempts.size() == 2U);
    fixture.EndAttempt(result, "v");
    BOOST_TEST(!fixture.FindAction<RespondWithFailure>());
    fixture.EndAttempt(AttemptResult::kCompleted, "u");
    BOOST_TEST(fixture.FindAction<DeliverResponse>());
  }
}

}  // namespace poplarfork::request
