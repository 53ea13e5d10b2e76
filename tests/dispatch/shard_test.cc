#include "tests/dispatch/dispatch_fixture.h"

#include <map>
#include <set>

namespace poplarfork::dispatch {

using Fixture = DispatchFixture;

// Guards against two dispatchers of one service that grant slots of the same
// upstream. Requests 800 slots from 8 shards, which together have 400.
BOOST_AUTO_TEST_CASE(ShardsGrantOnlyTheirOwnUpstreams) {
  Fixture fixture(200, 2);
  std::map<std::string, std::set<std::uint32_t>> shards_of;
  std::size_t grants = 0;
  for (std::uint32_t i = 0; i < 800; ++i) {
    SlotRequest slot_request = fixture.MakeSlotRequest(true);
    slot_request.shard_index = i % 8;
    slot_request.shard_count = 8;
    if (const Grant* grant = fixture.RequestSlot("d", slot_request)) {
      shards_of[grant->upstream.value].insert(slot_request.shard_index);
      ++grants;
    }
  }
  BOOST_TEST(grants == 400U);
  BOOST_TEST(shards_of.size() == 200U);
  for (const auto& [upstream, shards] : shards_of)
    BOOST_TEST(shards.size() == 1U);
}

// Guards against a shard that misses upstreams which are added or removed after
// its first slot request, and against slot requests for shards that do not
// exist.
BOOST_AUTO_TEST_CASE(ShardsTrackAddedAndRemovedUpstreams) {
  Fixture fixture(4, 1);
  SlotRequest slot_request = fixture.MakeSlotRequest(true);
  slot_request.shard_count = 2;
  fixture.RequestSlot("d", slot_request);
  std::size_t initial_count = 0;
  for (const auto& [shard, state] : fixture.dispatcher.shards)
    initial_count += shard.count == 2 ? state.upstreams.size() : 0;
  for (int i = 4; i < 40; ++i)
    OnUpstreamRecord(fixture.dispatcher,
                     MakeUpstreamRecord("u" + std::to_string(i), 1),
                     fixture.now, fixture.rng);
  const ShardState& shard = fixture.dispatcher.shards.at({kService, 0, 2});
  BOOST_TEST(shard.upstreams.size() > initial_count + 10);
  BOOST_TEST(shard.upstreams.size() < 40U);
  for (int i = 0; i < 40; ++i) {
    fleet::UpstreamRecord record =
        MakeUpstreamRecord("u" + std::to_string(i), 1);
    record.removed = true;
    OnUpstreamRecord(fixture.dispatcher, record, fixture.now, fixture.rng);
  }
  BOOST_TEST(shard.upstreams.empty());
  SlotRequest invalid_request = fixture.MakeSlotRequest(true);
  invalid_request.shard_index = 5;
  invalid_request.shard_count = 2;
  fixture.RequestSlot("d", invalid_request);
  BOOST_TEST((fixture.FindRefusal()->reason == RefusalReason::kNoUpstream));
}

// Guards against an empty shard that refuses all requests. It must not be
// created when the report or the check of a running attempt concerns a shard
// that has been dropped.
BOOST_AUTO_TEST_CASE(ExpiredShardsAreCreatedAgain) {
  Fixture fixture(96, 1);
  SlotRequest slot_request = fixture.MakeSlotRequest(false);
  slot_request.shard_count = 4;
  const Grant* grant = fixture.RequestSlot("d", slot_request);
  BOOST_REQUIRE(grant);
  const Grant copy = *grant;
  fixture.dispatcher.shards.erase({kService, 0, 4});
  fixture.Advance(milliseconds(100));
  fixture.EndAttempt("d", copy, Outcome::kServed);
  SlotRequest second_request = fixture.MakeSlotRequest(false);
  second_request.shard_count = 4;
  BOOST_TEST(fixture.RequestSlot("d", second_request));
}

}  // namespace poplarfork::dispatch
