#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

// Returns the attempt ids of the grants among the actions.
std::set<std::uint64_t> GrantedIds(const Actions& actions) {
  std::set<std::uint64_t> ids;
  for (const Action& action : actions) {
    if (const auto* grant = std::get_if<SendGrant>(&action))
      ids.insert(grant->grant.attempt_id.value);
  }
  return ids;
}

// Two upstreams with one slot each, both in use.
struct FullQueueFixture : DispatchFixture {
  FullQueueFixture() : DispatchFixture(2, 1) {
    this->ServeRequests(20);
    for (int i = 0; i < 2; ++i) {
      const Grant* grant =
          this->RequestSlot("other", this->MakeSlotRequest(false));
      BOOST_REQUIRE(grant);
      this->grants[grant->upstream.value] = *grant;
    }
  }

  // Queues a request that has been at u0 before, which has turned it away.
  SlotRequest QueueRequestThatAvoidsU0() {
    SlotRequest slot_request = this->MakeSlotRequest(false);
    slot_request.was_granted = true;
    slot_request.avoid = {{"u0"}};
    BOOST_REQUIRE(!this->RequestSlot("d", slot_request));
    BOOST_REQUIRE(!this->FindRefusal());
    return slot_request;
  }

  std::map<std::string, Grant> grants;
};

}  // namespace

// Guards against a queue that waits although a slot is free: the request at its
// front cannot use the upstream with the free slot, and those behind it can.
// New requests would otherwise take the slot ahead of the whole queue.
BOOST_FIXTURE_TEST_CASE(RequestThatAvoidsAnUpstreamDoesNotHoldUpTheQueue,
                        FullQueueFixture) {
  const SlotRequest first = this->QueueRequestThatAvoidsU0();
  const SlotRequest second = this->MakeSlotRequest(false);
  BOOST_REQUIRE(!this->RequestSlot("d", second));
  BOOST_REQUIRE(!this->FindRefusal());
  this->EndAttempt("other", this->grants.at("u0"), Outcome::kServed);
  BOOST_TEST(GrantedIds(this->actions) == std::set{second.attempt_id.value},
             boost::test_tools::per_element());
  // The first one keeps its place for the next slot that it can use.
  this->EndAttempt("other", this->grants.at("u1"), Outcome::kServed);
  BOOST_TEST(GrantedIds(this->actions) == std::set{first.attempt_id.value},
             boost::test_tools::per_element());
}

// The same for a daemon that has just failed to reach the upstream with the
// free slot: requests of other daemons may use it.
BOOST_FIXTURE_TEST_CASE(DaemonWithoutPathDoesNotHoldUpTheQueue,
                        FullQueueFixture) {
  this->FindUpstream("u0").path_failures[{"cut-off"}].avoid_until =
      this->now + seconds(5);
  const SlotRequest first = this->MakeSlotRequest(false);
  BOOST_REQUIRE(!this->RequestSlot("cut-off", first));
  const SlotRequest second = this->MakeSlotRequest(false);
  BOOST_REQUIRE(!this->RequestSlot("d", second));
  BOOST_REQUIRE(!this->FindRefusal());
  this->EndAttempt("other", this->grants.at("u0"), Outcome::kServed);
  BOOST_TEST(GrantedIds(this->actions) == std::set{second.attempt_id.value},
             boost::test_tools::per_element());
}

}  // namespace poplarfork::dispatch
