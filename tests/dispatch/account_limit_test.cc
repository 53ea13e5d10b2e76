#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

const base::AccountId kAccount{"client"};

// A dispatcher with one upstream and an account of one request per second. The
// owner of the account does not reply, so that the balance is the overdraft.
struct LimitedFixture : DispatchFixture {
  explicit LimitedFixture(std::uint32_t slots = 8) : DispatchFixture(1, slots) {
    auto accounts = std::make_shared<allowance::AccountMap>();
    (*accounts)[kAccount] = {kAccount, std::nullopt, {1, 1}};
    this->dispatcher.balances.accounts = accounts;
    this->dispatcher.balances.known_members = 1000;
  }

  SlotRequest MakeRequest() {
    SlotRequest slot_request = this->MakeSlotRequest(true);
    slot_request.account = kAccount;
    return slot_request;
  }

  double Tokens() const {
    return this->dispatcher.balances.by_account.at(kAccount).tokens;
  }

  bool IsOverAllowance() const {
    const Refusal* refusal = this->FindRefusal();
    return refusal && refusal->reason == RefusalReason::kOverAllowance &&
           refusal->retry_after > base::Duration(0);
  }
};

struct FullFixture : LimitedFixture {
  FullFixture() : LimitedFixture(1) {
    this->ServeRequests(20);
    BOOST_REQUIRE(this->RequestSlot("other", this->MakeSlotRequest(true)) !=
                  nullptr);
  }
};

}  // namespace

// Guards against requests over the limit that take slots from others.
BOOST_FIXTURE_TEST_CASE(SecondRequestIsOverTheAllowance, LimitedFixture) {
  BOOST_TEST(this->RequestSlot("d", this->MakeRequest()));
  BOOST_TEST(!this->RequestSlot("d", this->MakeRequest()));
  BOOST_TEST(this->IsOverAllowance());
  BOOST_TEST(this->Tokens() == -1);
  BOOST_TEST(this->RequestSlot("d", this->MakeSlotRequest(true)));
}

// Guards against requests that pay more than once: repeated slot requests,
// retries, hedges and requests whose first upstream could not be used.
BOOST_FIXTURE_TEST_CASE(OnlyTheFirstAttemptTakesAToken, LimitedFixture) {
  const SlotRequest first = this->MakeRequest();
  BOOST_TEST(this->RequestSlot("d", first));
  BOOST_TEST(this->RequestSlot("d", first));
  SlotRequest retry = this->MakeRequest();
  retry.is_retry = true;
  BOOST_TEST(this->RequestSlot("d", retry));
  SlotRequest hedge = this->MakeRequest();
  hedge.is_hedge = true;
  // The hedge is refused, because the settings allow none.
  BOOST_TEST(!this->RequestSlot("d", hedge));
  BOOST_TEST(!this->IsOverAllowance());
  SlotRequest other_upstream = this->MakeRequest();
  other_upstream.was_granted = true;
  BOOST_TEST(this->RequestSlot("d", other_upstream));
  BOOST_TEST(this->Tokens() == -1);
}

// Guards against refused requests that use up the allowance of the account.
BOOST_FIXTURE_TEST_CASE(RefusedRequestGivesItsTokenBack, FullFixture) {
  SlotRequest slot_request = this->MakeRequest();
  slot_request.until_late = milliseconds(1);
  BOOST_TEST(!this->RequestSlot("d", slot_request));
  BOOST_REQUIRE(this->FindRefusal());
  BOOST_TEST((this->FindRefusal()->reason == RefusalReason::kOverload));
  BOOST_TEST(this->Tokens() == 0);
}

// Guards against withdrawn and expired requests that use up the allowance.
BOOST_FIXTURE_TEST_CASE(QueuedRequestGivesItsTokenBack, FullFixture) {
  const SlotRequest withdrawn = this->MakeRequest();
  BOOST_TEST(!this->RequestSlot("d", withdrawn));
  BOOST_TEST(this->Tokens() == -1);
  OnWithdrawal(this->dispatcher, {"other"}, {withdrawn.attempt_id});
  BOOST_TEST(this->Tokens() == -1);
  OnWithdrawal(this->dispatcher, {"d"}, {withdrawn.attempt_id});
  BOOST_TEST(this->Tokens() == 0);

  const SlotRequest expired = this->MakeRequest();
  BOOST_TEST(!this->RequestSlot("d", expired));
  BOOST_TEST(this->Tokens() == -1);
  this->KillDaemons();
  this->now += seconds(3);
  this->actions = OnTick(this->dispatcher, this->now, this->rng);
  BOOST_REQUIRE(this->FindRefusal());
  BOOST_TEST((this->FindRefusal()->reason == RefusalReason::kExpired));
  BOOST_TEST(this->Tokens() == 0);
}

// Guards against tokens of requests that may have run and are given back: only
// an unused grant that was sent once gives its token back.
BOOST_FIXTURE_TEST_CASE(OnlyUnusedGrantGivesItsTokenBack, LimitedFixture) {
  const Grant* grant = this->RequestSlot("d", this->MakeRequest());
  BOOST_REQUIRE(grant);
  this->EndAttempt("d", Grant(*grant), Outcome::kUnused);
  BOOST_TEST(this->Tokens() == 0);

  const SlotRequest repeated = this->MakeRequest();
  this->RequestSlot("d", repeated);
  grant = this->RequestSlot("d", repeated);
  BOOST_REQUIRE(grant);
  this->EndAttempt("d", Grant(*grant), Outcome::kUnused);
  BOOST_TEST(this->Tokens() == -1);
}

// Guards against attempts that reached an upstream and get their token back.
BOOST_FIXTURE_TEST_CASE(StartedAttemptKeepsItsToken, LimitedFixture) {
  for (const Outcome outcome :
       {Outcome::kServed, Outcome::kFailed, Outcome::kShed,
        Outcome::kMisdirected, Outcome::kConnectionBroken,
        Outcome::kInvalidResponse, Outcome::kStalled, Outcome::kCancelled,
        Outcome::kUnreachable, Outcome::kConnectionRefused}) {
    LimitedFixture fixture;
    const Grant* grant = fixture.RequestSlot("d", fixture.MakeRequest());
    BOOST_REQUIRE(grant);
    fixture.EndAttempt("d", Grant(*grant), outcome);
    BOOST_TEST(fixture.Tokens() == -1);
  }
}

// Guards against a request that returns an upstream it cannot use, asks for
// another one without paying, and has its first token given back.
BOOST_FIXTURE_TEST_CASE(ReturnedGrantKeepsItsToken, LimitedFixture) {
  const Grant* grant = this->RequestSlot("d", this->MakeRequest());
  BOOST_REQUIRE(grant);
  AttemptReport report;
  report.attempt_id = grant->attempt_id;
  report.upstream = grant->upstream;
  report.notice.is_leaving = true;
  OnAttemptReport(this->dispatcher, {"d"}, report, this->now, this->rng);
  BOOST_TEST(this->Tokens() == -1);
}

// Guards against a request that pays twice: its grant was lost, and the
// upstream was removed before the daemon repeated the slot request.
BOOST_FIXTURE_TEST_CASE(GrantOfRemovedUpstreamIsPaidOnce, LimitedFixture) {
  OnUpstreamRecord(this->dispatcher, MakeUpstreamRecord("u1", 8), this->now,
                   this->rng);
  const SlotRequest slot_request = this->MakeRequest();
  const Grant* lost = this->RequestSlot("d", slot_request);
  BOOST_REQUIRE(lost);
  fleet::UpstreamRecord removal = MakeUpstreamRecord(lost->upstream.value, 8);
  removal.removed = true;
  OnUpstreamRecord(this->dispatcher, removal, this->now, this->rng);
  const Grant* grant = this->RequestSlot("d", slot_request);
  BOOST_REQUIRE(grant);
  BOOST_TEST(this->Tokens() == -1);
  BOOST_TEST(this->dispatcher.running_attempts.size() == 1U);
  // The lost grant may have been used after all, so the second one gives
  // nothing back.
  this->EndAttempt("d", Grant(*grant), Outcome::kUnused);
  BOOST_TEST(this->Tokens() == -1);
}

// Guards against tokens that were never taken and are given back: a limit that
// comes into force while requests wait would be exceeded by their number.
BOOST_FIXTURE_TEST_CASE(RequestsBeforeTheLimitGiveNothingBack, FullFixture) {
  const allowance::AccountTable limited = this->dispatcher.balances.accounts;
  this->dispatcher.balances.accounts = nullptr;
  SlotRequest withdrawn = this->MakeRequest();
  withdrawn.until_late = milliseconds(1800);
  BOOST_TEST(!this->RequestSlot("d", withdrawn));
  BOOST_TEST(!this->FindRefusal());
  SlotRequest expired = this->MakeRequest();
  expired.until_late = milliseconds(1800);
  BOOST_TEST(!this->RequestSlot("d", expired));
  BOOST_TEST(!this->FindRefusal());
  this->dispatcher.balances.accounts = limited;
  // Takes the only token.
  SlotRequest paid = this->MakeRequest();
  paid.until_late = milliseconds(1800);
  BOOST_TEST(!this->RequestSlot("d", paid));
  BOOST_TEST(!this->FindRefusal());
  BOOST_TEST(this->Tokens() == -1);
  OnWithdrawal(this->dispatcher, {"d"}, {withdrawn.attempt_id});
  BOOST_TEST(this->Tokens() == -1);
  OnWithdrawal(this->dispatcher, {"d"}, {paid.attempt_id});
  BOOST_TEST(this->Tokens() == 0);
  this->KillDaemons();
  this->now += seconds(3);
  this->actions = OnTick(this->dispatcher, this->now, this->rng);
  BOOST_REQUIRE(this->FindRefusal());
  BOOST_TEST((this->FindRefusal()->reason == RefusalReason::kExpired));
  BOOST_TEST(this->Tokens() == 0);
}

// The same for a grant from before the limit that is returned unused.
BOOST_FIXTURE_TEST_CASE(GrantBeforeTheLimitGivesNothingBack, LimitedFixture) {
  const allowance::AccountTable limited = this->dispatcher.balances.accounts;
  this->dispatcher.balances.accounts = nullptr;
  const Grant* grant = this->RequestSlot("d", this->MakeRequest());
  BOOST_REQUIRE(grant);
  const Grant unused = *grant;
  this->dispatcher.balances.accounts = limited;
  BOOST_TEST(this->RequestSlot("d", this->MakeRequest()));
  BOOST_TEST(this->Tokens() == -1);
  this->EndAttempt("d", unused, Outcome::kUnused);
  BOOST_TEST(this->Tokens() == -1);
}

// Guards against limits on accounts that have none.
BOOST_FIXTURE_TEST_CASE(AccountsWithoutLimitAreNotRefused, LimitedFixture) {
  for (int i = 0; i < 5; ++i) {
    SlotRequest slot_request = this->MakeSlotRequest(true);
    slot_request.account = {"unlimited"};
    BOOST_TEST(this->RequestSlot("d", slot_request));
  }
  BOOST_TEST(this->dispatcher.balances.by_account.empty());
}

}  // namespace poplarfork::dispatch
