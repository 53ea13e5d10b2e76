#include "tests/request/request_fixture.h"

namespace poplarfork::request {

// Guards against a non-repeatable request that runs twice because its
// connection broke or its response was not usable.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsThatMayHaveRunAreNotRetried) {
  for (const AttemptResult result :
       {AttemptResult::kConnectionBroken, AttemptResult::kInvalidResponse,
        AttemptResult::kFailedMisleadingStatus}) {
    RequestFixture fixture(false, 5);
    fixture.GrantSlot("u");
    fixture.EndAttempt(result);
    BOOST_REQUIRE(fixture.FindAction<RespondWithFailure>());
    BOOST_TEST(!fixture.FindAction<RespondWithFailure>()->not_run);
    BOOST_TEST(!fixture.FindAction<SendSlotRequest>());
  }
}

// Guards against a non-repeatable request that fails although no upstream has
// run it.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsThatHaveNotRunAreRetried) {
  RequestFixture fixture(false);
  fixture.GrantSlot("u");
  fixture.EndAttempt(AttemptResult::kNotRun);
  const auto* slot_request = fixture.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(slot_request->slot_request.is_retry);
  BOOST_REQUIRE(slot_request->slot_request.avoid.size() == 1U);
  BOOST_TEST(slot_request->slot_request.avoid[0].value == "u");
  fixture.RefuseSlot(dispatch::RefusalReason::kRetryBudget);
  BOOST_REQUIRE(fixture.FindAction<RespondWithFailure>());
  BOOST_TEST(fixture.FindAction<RespondWithFailure>()->not_run);
}

// Guards against telling the caller "not run" for a request that an upstream
// may have run.
BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyIfCertain) {
  RequestFixture fixture(true);
  fixture.GrantSlot("u");
  fixture.EndAttempt(AttemptResult::kConnectionBroken);
  fixture.RefuseSlot(dispatch::RefusalReason::kOverload);
  BOOST_REQUIRE(fixture.FindAction<RespondWithFailure>());
  BOOST_TEST(!fixture.FindAction<RespondWithFailure>()->not_run);
}

// Guards against failed connections, on which nothing was sent, that count as
// attempts or are taken from the retry budget.
BOOST_AUTO_TEST_CASE(FailedConnectionsDoNotCountAsAttempts) {
  RequestFixture fixture(false, 1);
  for (int i = 0; i < 3; ++i) {
    fixture.GrantSlot("u" + std::to_string(i));
    fixture.EndAttempt(AttemptResult::kNotConnected);
    const auto* slot_request = fixture.FindAction<SendSlotRequest>();
    BOOST_REQUIRE(slot_request);
    BOOST_TEST(!slot_request->slot_request.is_retry);
    BOOST_TEST(slot_request->slot_request.avoid.size() ==
               static_cast<std::size_t>(i) + 1);
  }
  fixture.RefuseSlot(dispatch::RefusalReason::kOverload);
  BOOST_REQUIRE(fixture.FindAction<RespondWithFailure>());
  BOOST_TEST(fixture.FindAction<RespondWithFailure>()->not_run);
}

// Guards against sending a request to more upstreams than its route allows.
BOOST_AUTO_TEST_CASE(AttemptsAreLimited) {
  RequestFixture fixture(true, 2);
  fixture.GrantSlot("u0");
  fixture.EndAttempt(AttemptResult::kFailed);
  BOOST_REQUIRE(fixture.FindAction<SendSlotRequest>());
  fixture.GrantSlot("u1");
  fixture.EndAttempt(AttemptResult::kFailed);
  BOOST_TEST(!fixture.FindAction<SendSlotRequest>());
  BOOST_TEST(fixture.FindAction<DeliverFailureResponse>());
}

// Guards against a repeatable request that waits for a hanging upstream until
// its deadline, and against a non-repeatable request that is sent to a second
// upstream.
BOOST_AUTO_TEST_CASE(OnlyRepeatableRequestsAreSentBesideAStalledAttempt) {
  RequestFixture repeatable(true);
  repeatable.GrantSlot("u");
  BOOST_TEST((NextTimerAt(repeatable.request) == kStart + milliseconds(500)));
  repeatable.AdvanceTime(milliseconds(500));
  BOOST_REQUIRE(repeatable.FindAction<SendSlotRequest>());
  repeatable.GrantSlot("v");
  BOOST_REQUIRE(repeatable.FindAction<StartAttempt>());
  BOOST_TEST(repeatable.FindAction<StartAttempt>()->attempt.upstream.value ==
             "v");
  repeatable.EndAttempt(AttemptResult::kCompleted, "v");
  BOOST_TEST(repeatable.FindAction<DeliverResponse>());
  BOOST_TEST(repeatable.FindAction<CancelAttempt>());
  BOOST_TEST(
      (repeatable.FindReport("u").outcome == dispatch::Outcome::kCancelled));

  RequestFixture non_repeatable(false);
  non_repeatable.GrantSlot("u");
  non_repeatable.AdvanceTime(milliseconds(600));
  // It tells the dispatcher that it waits, and does nothing else.
  BOOST_REQUIRE(non_repeatable.actions.size() == 1U);
  const auto* report = non_repeatable.FindAction<SendAttemptReport>();
  BOOST_REQUIRE(report);
  BOOST_TEST((report->report.outcome == dispatch::Outcome::kStillRunning));
}

// Guards against a refused second attempt that ends a request whose first
// attempt is still running.
BOOST_AUTO_TEST_CASE(ARefusedSecondAttemptLeavesTheFirstRunning) {
  RequestFixture fixture(true);
  fixture.GrantSlot("u");
  fixture.AdvanceTime(milliseconds(500));
  fixture.RefuseSlot(dispatch::RefusalReason::kRetryBudget);
  BOOST_TEST(fixture.actions.empty());
  fixture.EndAttempt(AttemptResult::kCompleted);
  BOOST_TEST(fixture.FindAction<DeliverResponse>());
}

// Guards against a dispatcher that has failed and holds requests until their
// deadlines.
BOOST_AUTO_TEST_CASE(SilentDispatchersAreReplaced) {
  RequestFixture fixture(false);
  const dispatch::AttemptId first = fixture.request.slot_request_id;
  int slot_requests = 0;
  base::Duration waited{};
  while (fixture.request.slot_request_id == first && waited < seconds(1)) {
    fixture.AdvanceTime(milliseconds(5));
    waited += milliseconds(5);
    slot_requests += fixture.FindAction<SendSlotRequest>() ? 1 : 0;
  }
  // The dispatcher that did not reply is not asked again.
  BOOST_TEST((fixture.request.asked_dispatcher == fixture.next_dispatcher));
  BOOST_TEST((waited <= milliseconds(200)));
  BOOST_TEST(slot_requests >= 2);
  // A late grant of the first dispatcher is reported as unused.
  dispatch::Grant late;
  late.attempt_id = first;
  late.upstream = {"u"};
  const Actions actions =
      OnGrant(fixture.request, {"dispatcher"}, late, fixture.now);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST((std::get<SendAttemptReport>(actions[0]).report.outcome ==
              dispatch::Outcome::kUnused));
}

// Guards against attempts that continue after their caller has disconnected.
BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheAttempt) {
  RequestFixture fixture(true);
  fixture.GrantSlot("u");
  fixture.actions = OnCallerDisconnected(fixture.request);
  BOOST_TEST(fixture.FindAction<CancelAttempt>());
  BOOST_TEST((fixture.FindAction<SendAttemptReport>()->report.outcome ==
              dispatch::Outcome::kCancelled));
  RequestFixture queued(true);
  queued.actions = OnCallerDisconnected(queued.request);
  BOOST_TEST(queued.FindAction<SendWithdrawal>());
}

// Guards against a request that is held past its deadline, and against
// promising that a request has not run while it is at an upstream.
BOOST_AUTO_TEST_CASE(DeadlinesEndRequests) {
  RequestFixture running(false);
  running.GrantSlot("u");
  running.AdvanceTime(milliseconds(2000));
  BOOST_TEST(running.FindAction<CancelAttempt>());
  BOOST_TEST(!running.FindAction<RespondWithFailure>()->not_run);
  BOOST_TEST(
      (running.FindAction<RespondWithFailure>()->failure == Failure::kTimeout));
  RequestFixture queued(false);
  OnQueuedNotice(queued.request, {queued.request.slot_request_id}, queued.now);
  queued.AdvanceTime(milliseconds(2000));
  BOOST_TEST(queued.FindAction<RespondWithFailure>()->not_run);
}

// Guards against refusing a request while another shard of the service has free
// slots, and against a request that tries all shards of a full service.
BOOST_AUTO_TEST_CASE(OneOtherShardIsTriedWhenTheFirstIsFull) {
  RequestFixture fixture(false);
  fixture.request.arrival.shard_slots = {10, 10, 10, 10};
  const std::uint32_t first = fixture.request.shard_index;
  fixture.RefuseSlot(dispatch::RefusalReason::kOverload);
  const auto* slot_request = fixture.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(slot_request->slot_request.shard_index != first);
  BOOST_TEST(slot_request->slot_request.shard_count == 4U);
  fixture.RefuseSlot(dispatch::RefusalReason::kOverload);
  const auto* failure = fixture.FindAction<RespondWithFailure>();
  BOOST_REQUIRE(failure);
  BOOST_TEST(failure->not_run);
}

// Guards against a dispatcher that cannot tell a slow upstream from a dead
// daemon: a daemon that still waits for a response must say so, once.
BOOST_AUTO_TEST_CASE(LongAttemptsAreReportedAsStillRunning) {
  for (const bool repeatable : {false, true}) {
    RequestFixture fixture(repeatable);
    fixture.GrantSlot("u1");
    fixture.AdvanceTime(milliseconds(500));
    const auto* report = fixture.FindAction<SendAttemptReport>();
    BOOST_REQUIRE(report);
    BOOST_TEST((report->report.outcome == dispatch::Outcome::kStillRunning));
    BOOST_TEST((report->report.upstream == base::UpstreamId{"u1"}));
    BOOST_TEST(fixture.request.possible_runs == 0U);
    fixture.AdvanceTime(milliseconds(20));
    BOOST_TEST(!fixture.FindAction<SendAttemptReport>());
  }
}

// Guards against a process that was paused and then sends work on a grant whose
// time has run out meanwhile.
BOOST_AUTO_TEST_CASE(GrantsAfterTheDeadlineAreNotUsed) {
  for (const bool repeatable : {false, true}) {
    RequestFixture fixture(repeatable);
    fixture.now += seconds(5);
    fixture.GrantSlot("u1");
    BOOST_TEST(!fixture.FindAction<StartAttempt>());
    const auto* report = fixture.FindAction<SendAttemptReport>();
    BOOST_REQUIRE(report);
    BOOST_TEST((report->report.outcome == dispatch::Outcome::kUnused));
    const auto* failure = fixture.FindAction<RespondWithFailure>();
    BOOST_REQUIRE(failure);
    BOOST_TEST(failure->not_run);
    BOOST_TEST((fixture.request.phase == Phase::kEnded));
  }
}

// Guards against a request that is sent to an upstream that is known to be
// leaving, and against a dispatcher that is not told and grants it again.
BOOST_AUTO_TEST_CASE(GrantsOfLeavingUpstreamsAreReturned) {
  RequestFixture fixture(false);
  fixture.GrantSlotAtLeaving("u0");
  BOOST_TEST(!fixture.FindAction<StartAttempt>());
  const auto* report = fixture.FindAction<SendAttemptReport>();
  BOOST_REQUIRE(report);
  BOOST_TEST((report->report.outcome == dispatch::Outcome::kUnused));
  BOOST_TEST(report->report.notice.is_leaving);
  const auto* slot_request = fixture.FindAction<SendSlotRequest>();
  BOOST_REQUIRE(slot_request);
  BOOST_TEST(!slot_request->slot_request.is_retry);
  BOOST_REQUIRE(slot_request->slot_request.avoid.size() == 1U);
  fixture.GrantSlot("u1");
  BOOST_TEST(fixture.FindAction<StartAttempt>());
}

// Guards against a request that asks for slots without end when all grants are
// of leaving upstreams, and against a wrong answer to its caller.
BOOST_AUTO_TEST_CASE(ManyReturnedGrantsEndTheRequestAsNotRun) {
  RequestFixture fixture(false);
  int grants = 0;
  for (; !fixture.FindAction<RespondWithFailure>() && grants < 100; ++grants)
    fixture.GrantSlotAtLeaving("u" + std::to_string(grants));
  BOOST_TEST(grants <= 10);
  const auto* failure = fixture.FindAction<RespondWithFailure>();
  BOOST_REQUIRE(failure);
  BOOST_TEST(failure->not_run);
}

// Guards against a request over the limit of its account that is tried at
// another shard, or whose caller is not told that it has not run.
BOOST_AUTO_TEST_CASE(RequestOverTheAllowanceEndsAtOnce) {
  RequestFixture fixture(false);
  fixture.request.arrival.shard_slots = {4, 4};
  fixture.RefuseSlot(dispatch::RefusalReason::kOverAllowance);
  const auto* failure = fixture.FindAction<RespondWithFailure>();
  BOOST_REQUIRE(failure);
  BOOST_TEST((failure->failure == Failure::kOverAllowance));
  BOOST_TEST(failure->not_run);
  BOOST_TEST((failure->retry_after == milliseconds(700)));
  BOOST_TEST(!fixture.FindAction<SendSlotRequest>());
  BOOST_TEST((fixture.request.phase == Phase::kEnded));
}

// Guards against a caller that is told that its request has not run although an
// earlier attempt may have run it.
BOOST_AUTO_TEST_CASE(RefusalAfterAPossibleRunDoesNotPromiseNotRun) {
  RequestFixture fixture(true);
  fixture.GrantSlot("u1");
  fixture.EndAttempt(AttemptResult::kConnectionBroken);
  fixture.RefuseSlot(dispatch::RefusalReason::kOverAllowance);
  const auto* failure = fixture.FindAction<RespondWithFailure>();
  BOOST_REQUIRE(failure);
  BOOST_TEST(!failure->not_run);
}

}  // namespace poplarfork::request
