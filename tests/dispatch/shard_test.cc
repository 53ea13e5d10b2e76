#include "tests/dispatch/dispatch_fixture.h"

#include <map>
#include <set>

namespace poplarfork::dispatch {

using Fixture = DispatchFixture;

// Guards against two dispatchers of one service that grant the same upstream.
// Requests more slots from 8 shards than these have.
BOOST_AUTO_TEST_CASE(ShardsGrantOnlyTheirOwnUpstreams) {
  Fixture fixture(200, 2);
  std::map<std::string, std::set<std::uint32_t>> shards_of;
  std::size_t grants = 0;
  for (std::uint32_t i = 0; i < 800; ++i) {
    Ask ask = fixture.MakeAsk(true);
    ask.shard = i % 8;
    ask.shards = 8;
    if (const Grant* grant = fixture.AskFor("d", ask)) {
      shards_of[grant->upstream.value].insert(ask.shard);
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
  Ask ask = fixture.MakeAsk(true);
  ask.shards = 2;
  fixture.AskFor("d", ask);
  std::size_t known = 0;
  for (const auto& [shard, state] : fixture.dispatcher.shards)
    known += shard.count == 2 ? state.upstreams.size() : 0;
  for (int i = 4; i < 40; ++i)
    OnUpstream(fixture.dispatcher, RecordOf("u" + std::to_string(i), 1),
               fixture.now, fixture.rng);
  const ServiceState& shard = fixture.dispatcher.shards.at({kService, 0, 2});
  BOOST_TEST(shard.upstreams.size() > known + 10);
  BOOST_TEST(shard.upstreams.size() < 40U);
  for (int i = 0; i < 40; ++i) {
    fleet::UpstreamRecord record = RecordOf("u" + std::to_string(i), 1);
    record.removed = true;
    OnUpstream(fixture.dispatcher, record, fixture.now, fixture.rng);
  }
  BOOST_TEST(shard.upstreams.empty());
  Ask impossible = fixture.MakeAsk(true);
  impossible.shard = 5;
  impossible.shards = 2;
  fixture.AskFor("d", impossible);
  BOOST_TEST((fixture.LastRefusal()->reason == RefusalReason::kNoUpstream));
}

// Guards against an empty shard that refuses all requests. It must not be
// created when the report or the check of a running attempt concerns a shard
// that has been dropped.
BOOST_AUTO_TEST_CASE(ExpiredShardsAreCreatedAgain) {
  Fixture fixture(96, 1);
  Ask ask = fixture.MakeAsk(false);
  ask.shards = 4;
  const Grant* grant = fixture.AskFor("d", ask);
  BOOST_REQUIRE(grant);
  const Grant copy = *grant;
  fixture.dispatcher.shards.erase({kService, 0, 4});
  fixture.Advance(milliseconds(100));
  fixture.End("d", copy, Outcome::kServed);
  Ask again = fixture.MakeAsk(false);
  again.shards = 4;
  BOOST_TEST(fixture.AskFor("d", again));
}

}  // namespace poplarfork::dispatch
