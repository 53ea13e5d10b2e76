#include <boost/test/unit_test.hpp>

#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

constexpr base::Duration kDuration = milliseconds(20);

// A dispatcher whose only slot is in use, so that requests are queued.
struct QueueFixture : DispatchFixture {
  QueueFixture() : DispatchFixture(1, 1) {
    // Short durations leave room for some requests in the queue.
    for (int i = 0; i < 20; ++i) {
      this->Occupy();
      this->now += kDuration;
      this->EndAttempt("d", this->occupying, Outcome::kServed, kDuration);
    }
    this->Occupy();
  }

  void Occupy() {
    const Grant* grant = this->RequestSlot("d", this->MakeSlotRequest(true));
    BOOST_REQUIRE(grant);
    this->occupying = *grant;
  }

  // Queues a request and returns its id.
  AttemptId Queue(std::uint32_t priority, base::Duration objective) {
    SlotRequest slot_request = this->MakeSlotRequest(true);
    slot_request.priority = priority;
    slot_request.until_late = objective;
    slot_request.until_deadline = objective * 3;
    BOOST_REQUIRE(!this->RequestSlot("d", slot_request));
    BOOST_REQUIRE(!this->FindRefusal());
    return slot_request.attempt_id;
  }

  // Frees the slot and returns the request that gets it.
  AttemptId ServeNext() {
    this->EndAttempt("d", this->occupying, Outcome::kServed, kDuration);
    for (const Action& action : this->actions) {
      if (const auto* send = std::get_if<SendGrant>(&action)) {
        this->occupying = send->grant;
        return send->grant.attempt_id;
      }
    }
    return {};
  }

  Grant occupying;
};

}  // namespace

// Guards against a step of priority that is too short for long objectives: of
// two requests with an objective of 12 s, the more urgent one is served first
// although it came 0.8 s later.
BOOST_FIXTURE_TEST_CASE(UrgentRequestOvertakesWithALongObjective,
                        QueueFixture) {
  const AttemptId normal = this->Queue(1, seconds(12));
  this->now += milliseconds(800);
  const AttemptId urgent = this->Queue(0, seconds(12));
  BOOST_TEST((this->ServeNext() == urgent));
  BOOST_TEST((this->ServeNext() == normal));
}

// Guards against strict priorities, which would starve the less urgent requests
// of an account: one that has waited for longer than the step is served first.
BOOST_FIXTURE_TEST_CASE(LessUrgentRequestIsServedAfterTheStep, QueueFixture) {
  const AttemptId normal = this->Queue(1, seconds(12));
  this->now += milliseconds(1000);
  const AttemptId urgent = this->Queue(0, seconds(12));
  BOOST_TEST((this->ServeNext() == normal));
  BOOST_TEST((this->ServeNext() == urgent));
}

// Guards against another order of the requests with an objective of 0.8 s,
// whose step is 60 ms.
BOOST_FIXTURE_TEST_CASE(ShortObjectiveKeepsItsStep, QueueFixture) {
  const AttemptId normal = this->Queue(1, milliseconds(800));
  this->now += milliseconds(50);
  const AttemptId urgent = this->Queue(0, milliseconds(800));
  BOOST_TEST((this->ServeNext() == urgent));
  BOOST_TEST((this->ServeNext() == normal));
}

BOOST_FIXTURE_TEST_CASE(ShortObjectiveDoesNotOvertakeAfterItsStep,
                        QueueFixture) {
  const AttemptId normal = this->Queue(1, milliseconds(800));
  this->now += milliseconds(70);
  const AttemptId urgent = this->Queue(0, milliseconds(800));
  BOOST_TEST((this->ServeNext() == normal));
  BOOST_TEST((this->ServeNext() == urgent));
}

// Guards against the priority of the account that is ignored in favour of that
// of the route.
BOOST_FIXTURE_TEST_CASE(PriorityOfTheAccountCounts, QueueFixture) {
  const AttemptId first = this->Queue(3, seconds(2));
  const AttemptId second = this->Queue(1, seconds(2));
  BOOST_TEST((this->ServeNext() == second));
  BOOST_TEST((this->ServeNext() == first));
}

}  // namespace poplarfork::dispatch
