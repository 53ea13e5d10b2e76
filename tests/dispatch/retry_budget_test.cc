#include "dispatch/admission_func.h"
#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

// A dispatcher of one upstream that has one slot, which is in use.
struct RetryFixture : DispatchFixture {
  RetryFixture() : DispatchFixture(1, 1) {
    this->ServeRequests(20);
    BOOST_REQUIRE(this->RequestSlot("other", this->MakeSlotRequest(false)));
  }

  SlotRequest MakeRetry() {
    SlotRequest slot_request = this->MakeSlotRequest(true);
    slot_request.is_retry = true;
    return slot_request;
  }

  double Tokens() const {
    return this->dispatcher.shards.at({kService}).retry_budget.tokens;
  }
};

}  // namespace

// Guards against shards whose retries or hedges are never granted: the budget
// of a service is divided among its shards, and the reserved part of a small
// budget left less than one token.
BOOST_AUTO_TEST_CASE(FullBudgetOfSmallShardGrantsARetry) {
  const Settings settings;
  for (int shards = 1; shards <= 25; ++shards) {
    for (const bool is_hedge : {false, true}) {
      ShardState shard_state;
      shard_state.limit_share = 1.0 / shards;
      SlotRequest slot_request;
      slot_request.work_class.repeatable = true;
      slot_request.is_retry = true;
      slot_request.is_hedge = is_hedge;
      BOOST_TEST(TryTakeRetryToken(settings, shard_state, slot_request, kStart),
                 shards << " shards, hedge " << is_hedge);
    }
  }
}

// Guards against retries that use up the budget although they were never
// granted: refused because the queue is too long, withdrawn from it, or
// expired.
BOOST_FIXTURE_TEST_CASE(RetryThatIsNotGrantedGivesItsTokenBack, RetryFixture) {
  this->RequestSlot("d", this->MakeRetry());
  const double before = this->Tokens();
  SlotRequest refused = this->MakeRetry();
  refused.until_deadline = milliseconds(100);
  this->RequestSlot("d", refused);
  BOOST_REQUIRE(this->FindRefusal());
  BOOST_TEST((this->FindRefusal()->reason == RefusalReason::kOverload));
  BOOST_TEST(this->Tokens() == before);

  const SlotRequest withdrawn = this->MakeRetry();
  this->RequestSlot("d", withdrawn);
  BOOST_REQUIRE(!this->FindRefusal());
  BOOST_TEST(this->Tokens() == before - 1);
  OnWithdrawal(this->dispatcher, {"d"}, {withdrawn.attempt_id});
  BOOST_TEST(this->Tokens() == before);

  this->KillDaemons();
  this->now += seconds(3);
  this->actions = OnTick(this->dispatcher, this->now, this->rng);
  BOOST_REQUIRE(this->FindRefusal());
  BOOST_TEST((this->FindRefusal()->reason == RefusalReason::kExpired));
  BOOST_TEST(this->Tokens() == before + 1);
}

}  // namespace poplarfork::dispatch
