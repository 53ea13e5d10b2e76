#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

#include "request/request_func.h"

namespace poplarfork::request {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{seconds(100)};

// One request whose dispatcher is simulated by the test.
struct Fixture {
  explicit Fixture(bool repeatable, std::uint32_t max_attempts = 2) {
    this->context.data_centre = {"a"};
    this->context.dispatcher_of = [this](const fleet::Shard&,
                                         const base::DaemonId* silent) {
      return silent && *silent == this->dispatcher ? this->next
                                                   : this->dispatcher;
    };
    this->context.next_attempt = [this] {
      return dispatch::AttemptId{++this->attempts};
    };
    Arrival arrival;
    arrival.number = {1};
    arrival.work = {{"orders"}, repeatable, 1};
    arrival.late_at = kStart + milliseconds(800);
    arrival.deadline = kStart + milliseconds(2000);
    arrival.max_attempts = max_attempts;
    this->actions = Begin(this->request, arrival, this->context, this->now);
  }

  void Give(const std::string& upstream) {
    dispatch::Grant grant;
    grant.attempt = this->request.asked;
    grant.upstream = {upstream};
    grant.address = "10.0.0.1:80";
    grant.retry_after = milliseconds(500);
    this->actions = OnGrant(this->request, this->dispatcher, grant, this->now);
  }

  void End(AttemptResult result) {
    AttemptEnd end;
    end.result = result;
    this->actions = OnAttemptEnd(this->request, end, this->context, this->now);
  }

  void Refuse(dispatch::RefusalReason reason) {
    dispatch::Refusal refusal;
    refusal.attempt = this->request.asked;
    refusal.reason = reason;
    refusal.retry_after = milliseconds(700);
    this->actions = OnRefusal(this->request, refusal, this->context, this->now);
  }

  void Pass(base::Duration time) {
    this->now += time;
    this->actions = OnTime(this->request, this->context, this->now);
  }

  template <class T>
  const T* Find() const {
    for (const Action& action : this->actions) {
      if (const T* found = std::get_if<T>(&action))
        return found;
    }
    return nullptr;
  }

  Request request;
  Context context;
  base::DaemonId dispatcher{"dispatcher"};
  base::DaemonId next{"next"};
  std::uint64_t attempts = 0;
  base::TimePoint now = kStart;
  Actions actions;
};

}  // namespace

// Guards against a non-repeatable request that runs twice because its
// connection broke or its response was not usable.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsThatMayHaveRunAreNotRetried) {
  for (const AttemptResult result :
       {AttemptResult::kBroken, AttemptResult::kBadAnswer,
        AttemptResult::kFailedUnpromised}) {
    Fixture fixture(false, 5);
    fixture.Give("u");
    fixture.End(result);
    BOOST_REQUIRE(fixture.Find<AnswerFailure>());
    BOOST_TEST(!fixture.Find<AnswerFailure>()->not_run);
    BOOST_TEST(!fixture.Find<AskDispatcher>());
  }
}

// Guards against a non-repeatable request that fails although no upstream has
// run it.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsThatHaveNotRunAreRetried) {
  Fixture fixture(false);
  fixture.Give("u");
  fixture.End(AttemptResult::kNotRun);
  const auto* ask = fixture.Find<AskDispatcher>();
  BOOST_REQUIRE(ask);
  BOOST_TEST(ask->ask.is_retry);
  BOOST_REQUIRE(ask->ask.avoid.size() == 1U);
  BOOST_TEST(ask->ask.avoid[0].value == "u");
  fixture.Refuse(dispatch::RefusalReason::kRetryBudget);
  BOOST_REQUIRE(fixture.Find<AnswerFailure>());
  BOOST_TEST(fixture.Find<AnswerFailure>()->not_run);
}

// Guards against telling the caller "not run" for a request that an upstream
// may have run.
BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyIfCertain) {
  Fixture fixture(true);
  fixture.Give("u");
  fixture.End(AttemptResult::kBroken);
  fixture.Refuse(dispatch::RefusalReason::kOverload);
  BOOST_REQUIRE(fixture.Find<AnswerFailure>());
  BOOST_TEST(!fixture.Find<AnswerFailure>()->not_run);
}

// Guards against failed connections, on which nothing was sent, that count as
// attempts or are taken from the retry budget.
BOOST_AUTO_TEST_CASE(FailedConnectionsDoNotCountAsAttempts) {
  Fixture fixture(false, 1);
  for (int i = 0; i < 3; ++i) {
    fixture.Give("u" + std::to_string(i));
    fixture.End(AttemptResult::kNotConnected);
    const auto* ask = fixture.Find<AskDispatcher>();
    BOOST_REQUIRE(ask);
    BOOST_TEST(!ask->ask.is_retry);
    BOOST_TEST(ask->ask.avoid.size() == static_cast<std::size_t>(i) + 1);
  }
  fixture.Refuse(dispatch::RefusalReason::kOverload);
  BOOST_REQUIRE(fixture.Find<AnswerFailure>());
  BOOST_TEST(fixture.Find<AnswerFailure>()->not_run);
}

// Guards against sending a request to more upstreams than its route allows.
BOOST_AUTO_TEST_CASE(AttemptsAreLimited) {
  Fixture fixture(true, 2);
  fixture.Give("u0");
  fixture.End(AttemptResult::kFailed);
  BOOST_REQUIRE(fixture.Find<AskDispatcher>());
  fixture.Give("u1");
  fixture.End(AttemptResult::kFailed);
  BOOST_TEST(!fixture.Find<AskDispatcher>());
  BOOST_TEST(fixture.Find<DeliverKeptAnswer>());
}

// Guards against a repeatable request that waits for a hanging upstream until
// its deadline, and against a non-repeatable request that is sent to a second
// upstream.
BOOST_AUTO_TEST_CASE(OnlyRepeatableRequestsLeaveAStalledUpstream) {
  Fixture lookup(true);
  lookup.Give("u");
  BOOST_TEST((NextWake(lookup.request) == kStart + milliseconds(500)));
  lookup.Pass(milliseconds(500));
  BOOST_REQUIRE(lookup.Find<AskDispatcher>());
  lookup.Give("v");
  BOOST_TEST(lookup.Find<CancelAttempt>());
  BOOST_TEST(lookup.Find<SendReport>()->report.upstream.value == "u");
  BOOST_TEST(lookup.Find<StartAttempt>()->attempt.upstream.value == "v");

  Fixture order(false);
  order.Give("u");
  order.Pass(milliseconds(600));
  BOOST_TEST(order.actions.empty());
}

// Guards against a refused second attempt that ends a request whose first
// attempt is still running.
BOOST_AUTO_TEST_CASE(ARefusedSecondAttemptLeavesTheFirstRunning) {
  Fixture fixture(true);
  fixture.Give("u");
  fixture.Pass(milliseconds(500));
  fixture.Refuse(dispatch::RefusalReason::kRetryBudget);
  BOOST_TEST(fixture.actions.empty());
  fixture.End(AttemptResult::kAnswered);
  BOOST_TEST(fixture.Find<DeliverAnswer>());
}

// Guards against a dispatcher that has failed and holds requests until their
// deadlines.
BOOST_AUTO_TEST_CASE(SilentDispatchersAreReplaced) {
  Fixture fixture(false);
  const dispatch::AttemptId first = fixture.request.asked;
  int asks = 0;
  base::Duration waited{};
  while (fixture.request.asked == first && waited < seconds(1)) {
    fixture.Pass(milliseconds(5));
    waited += milliseconds(5);
    asks += fixture.Find<AskDispatcher>() ? 1 : 0;
  }
  // The dispatcher that did not reply is not asked again.
  BOOST_TEST((fixture.request.asked_of == fixture.next));
  BOOST_TEST((waited <= milliseconds(200)));
  BOOST_TEST(asks >= 2);
  // A late grant of the first dispatcher is reported as unused.
  dispatch::Grant late;
  late.attempt = first;
  late.upstream = {"u"};
  const Actions actions =
      OnGrant(fixture.request, {"dispatcher"}, late, fixture.now);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST((std::get<SendReport>(actions[0]).report.outcome ==
              dispatch::Outcome::kUnused));
}

// Guards against attempts that continue after their caller has disconnected.
BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheAttempt) {
  Fixture fixture(true);
  fixture.Give("u");
  fixture.actions = OnCallerGone(fixture.request);
  BOOST_TEST(fixture.Find<CancelAttempt>());
  BOOST_TEST((fixture.Find<SendReport>()->report.outcome ==
              dispatch::Outcome::kCancelled));
  Fixture waiting(true);
  waiting.actions = OnCallerGone(waiting.request);
  BOOST_TEST(waiting.Find<SendWithdrawal>());
}

// Guards against a request that is held past its deadline, and against
// promising that a request has not run while it is at an upstream.
BOOST_AUTO_TEST_CASE(DeadlinesEndRequests) {
  Fixture running(false);
  running.Give("u");
  running.Pass(milliseconds(2000));
  BOOST_TEST(running.Find<CancelAttempt>());
  BOOST_TEST(!running.Find<AnswerFailure>()->not_run);
  BOOST_TEST((running.Find<AnswerFailure>()->failure == Failure::kTimeout));
  Fixture waiting(false);
  OnWaiting(waiting.request, {waiting.request.asked}, waiting.now);
  waiting.Pass(milliseconds(2000));
  BOOST_TEST(waiting.Find<AnswerFailure>()->not_run);
}

// Guards against refusing a request while another shard of the service has free
// slots, and against a request that tries all shards of a full service.
BOOST_AUTO_TEST_CASE(OneOtherShardIsTriedWhenTheFirstIsFull) {
  Fixture fixture(false);
  fixture.request.arrival.shards = {10, 10, 10, 10};
  const std::uint32_t first = fixture.request.shard;
  fixture.Refuse(dispatch::RefusalReason::kOverload);
  const auto* ask = fixture.Find<AskDispatcher>();
  BOOST_REQUIRE(ask);
  BOOST_TEST(ask->ask.shard != first);
  BOOST_TEST(ask->ask.shards == 4U);
  fixture.Refuse(dispatch::RefusalReason::kOverload);
  const auto* failure = fixture.Find<AnswerFailure>();
  BOOST_REQUIRE(failure);
  BOOST_TEST(failure->not_run);
}

}  // namespace poplarfork::request
