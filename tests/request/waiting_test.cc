#include <boost/test/unit_test.hpp>

#include <variant>

#include "request/request_func.h"
#include "request/waiting_func.h"

namespace poplarfork::request {

namespace {

constexpr base::TimePoint kNow{std::chrono::seconds(100)};

// A request that has asked the dispatcher for a slot.
struct WaitingRequest {
  WaitingRequest() {
    this->context.find_dispatcher = [](const fleet::Shard&,
                                       const base::DaemonId*) {
      return base::DaemonId{"10.0.0.1:1"};
    };
    this->context.make_attempt_id = [this] {
      return dispatch::AttemptId{++this->last_attempt_id};
    };
    Arrival arrival;
    arrival.deadline = kNow + std::chrono::seconds(5);
    arrival.max_attempts = 2;
    BeginRequest(this->request, arrival, this->context, kNow);
  }

  void Grant() {
    dispatch::Grant grant;
    grant.attempt_id = this->request.slot_request_id;
    OnGrant(this->request, {"10.0.0.1:1"}, grant, kNow);
  }

  void EndAttempt(AttemptResult result) {
    AttemptEnd end;
    end.result = result;
    OnAttemptEnd(this->request, end, this->context, kNow);
  }

  Context context;
  Request request;
  std::uint64_t last_attempt_id = 0;
};

}  // namespace

// Guards against a request that keeps its place in the queue after it has
// ended, and against a response that does not promise that it has not run.
BOOST_FIXTURE_TEST_CASE(WaitingRequestsEndAndLeaveTheQueue, WaitingRequest) {
  BOOST_TEST(IsWaiting(this->request));
  const dispatch::AttemptId slot_request_id = this->request.slot_request_id;
  const Actions actions = EndWaiting(this->request, Failure::kKeyWithdrawn);
  BOOST_REQUIRE(actions.size() == 2U);
  const auto* withdrawal = std::get_if<SendWithdrawal>(&actions[0]);
  BOOST_REQUIRE(withdrawal);
  BOOST_TEST((withdrawal->withdrawal.attempt_id == slot_request_id));
  const auto* response = std::get_if<RespondWithFailure>(&actions[1]);
  BOOST_REQUIRE(response);
  BOOST_TEST((response->failure == Failure::kKeyWithdrawn));
  BOOST_TEST(response->not_run);
  BOOST_TEST((this->request.phase == Phase::kEnded));
}

// Guards against requests that are cut off although an upstream may have run
// them.
BOOST_FIXTURE_TEST_CASE(SentRequestsDoNotWait, WaitingRequest) {
  this->Grant();
  BOOST_TEST(!IsWaiting(this->request));
  BOOST_TEST(EndWaiting(this->request, Failure::kKeyWithdrawn).empty());
  BOOST_TEST((this->request.phase == Phase::kRunning));
  this->EndAttempt(AttemptResult::kNotRun);
  BOOST_TEST((this->request.phase == Phase::kRequestingSlot));
  BOOST_TEST(!IsWaiting(this->request));
}

// Guards against a request that counts as sent because a connection to an
// upstream failed.
BOOST_FIXTURE_TEST_CASE(RequestsWaitAfterAFailedConnection, WaitingRequest) {
  this->Grant();
  this->EndAttempt(AttemptResult::kConnectionRefused);
  BOOST_TEST(IsWaiting(this->request));
}

}  // namespace poplarfork::request
