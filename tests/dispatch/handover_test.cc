#include "dispatch/handover_func.h"

#include <limits>

#include "dispatch/fault_estimate_func.h"
#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

using Fixture = DispatchFixture;

namespace {

const fleet::Shard kShard{kService};

// Two dispatchers of the same upstreams. The first one has learned that u0
// hangs and has granted two of the slots of u1.
struct HandoverFixture {
  HandoverFixture() : first(6, 3), second(6, 3) {
    this->first.ServeRequests(60);
    UpstreamState& hanging = this->first.FindUpstream("u0");
    for (int i = 0; i < 3; ++i)
      Observe(hanging.fault_estimate, Evidence::kLost, 1, this->first.now);
    this->first.FindUpstream("u1").running_count = 2;
    this->second.now = this->first.now;
  }

  ShardDigest MakeDigest() {
    const auto digest =
        dispatch::MakeDigest(this->first.dispatcher, kShard, this->first.now);
    BOOST_REQUIRE(digest);
    return *digest;
  }

  bool Deliver(const ShardDigest& digest) {
    return OnDigest(this->second.dispatcher, {"first"}, digest,
                    this->second.now);
  }

  // Returns how many of the successor's first orders go to each upstream.
  std::map<std::string, int> PlaceOrders(int count) {
    std::map<std::string, int> placed;
    for (int i = 0; i < count; ++i) {
      const Grant* grant =
          this->second.RequestSlot("d", this->second.MakeSlotRequest(false));
      if (grant)
        ++placed[grant->upstream.value];
    }
    return placed;
  }

  Fixture first;
  Fixture second;
};

}  // namespace

// Guards against a successor that sends orders to an upstream that hangs, and
// that fills slots which the previous dispatcher has granted.
BOOST_AUTO_TEST_CASE(SuccessorsKnowWhatTheDispatcherHasLearned) {
  HandoverFixture fixture;
  BOOST_TEST(fixture.Deliver(fixture.MakeDigest()));
  // The other five upstreams have 15 slots, of which 2 are in use.
  std::map<std::string, int> placed = fixture.PlaceOrders(13);
  BOOST_TEST(placed["u0"] == 0);
  BOOST_TEST(placed["u1"] == 1);
}

// Guards against digests that are late, repeated, from an earlier start of an
// upstream or impossible: nothing must follow from them.
BOOST_AUTO_TEST_CASE(OutdatedDigestsChangeNothing) {
  HandoverFixture fixture;
  const ShardDigest digest = fixture.MakeDigest();
  const ShardDigest newer = fixture.MakeDigest();
  BOOST_TEST(fixture.Deliver(newer));
  BOOST_TEST(!fixture.Deliver(newer));
  BOOST_TEST(!fixture.Deliver(digest));
  fixture.second.now += seconds(10);
  std::map<std::string, int> placed = fixture.PlaceOrders(12);
  BOOST_TEST(placed["u0"] == 2);

  HandoverFixture restarted;
  ShardDigest earlier_start = restarted.MakeDigest();
  for (UpstreamDigest& upstream : earlier_start.upstreams)
    upstream.incarnation = {99};
  BOOST_TEST(restarted.Deliver(earlier_start));
  placed = restarted.PlaceOrders(12);
  BOOST_TEST(placed["u0"] == 2);

  HandoverFixture impossible;
  ShardDigest invalid = impossible.MakeDigest();
  invalid.retry_tokens = std::numeric_limits<double>::quiet_NaN();
  BOOST_TEST(!impossible.Deliver(invalid));
  invalid = impossible.MakeDigest();
  invalid.shard.index = 7;
  BOOST_TEST(!impossible.Deliver(invalid));
}

// Guards against a dispatcher that forgets what it knows when a digest of
// another dispatcher arrives, which happens while two act at the same time.
BOOST_AUTO_TEST_CASE(ActiveDispatchersIgnoreDigests) {
  HandoverFixture fixture;
  fixture.second.ServeRequests(60);
  BOOST_TEST(fixture.Deliver(fixture.MakeDigest()));
  fixture.PlaceOrders(6);
  BOOST_TEST(fixture.second.FindUpstream("u1").foreign_requests == 0U);
}

// Guards against two dispatchers that together grant more retries than the
// deployment allows: a successor continues with what is left.
BOOST_AUTO_TEST_CASE(SuccessorsContinueTheRetryBudget) {
  HandoverFixture fixture;
  ShardDigest digest = fixture.MakeDigest();
  digest.retry_tokens = 0;
  digest.request_rate = 0;
  BOOST_TEST(fixture.Deliver(digest));
  SlotRequest retry = fixture.second.MakeSlotRequest(false);
  retry.is_retry = true;
  BOOST_TEST(!fixture.second.RequestSlot("d", retry));
  BOOST_REQUIRE(fixture.second.FindRefusal());
  BOOST_TEST(
      (fixture.second.FindRefusal()->reason == RefusalReason::kRetryBudget));
}

}  // namespace poplarfork::dispatch
