#include "tests/dispatch/dispatch_fixture.h"

#include <set>
#include <vector>

#include "base/rng_func.h"
#include "fleet/shard_func.h"
#include "fleet/view_func.h"

namespace poplarfork::dispatch {

namespace {

constexpr const char* kServices[] = {"orders", "manuals", "unknown"};

template <class T>
const T& Choose(const std::vector<T>& values, base::Rng& rng) {
  return values[base::UniformBelow(rng, values.size())];
}

// Returns the upstreams of the view that a shard consists of.
std::set<base::UpstreamId> UpstreamsInView(const fleet::View& view,
                                           const fleet::Shard& shard) {
  std::set<base::UpstreamId> upstreams;
  for (const auto& [id, record] : view.upstreams) {
    if (!record.removed && record.entry.service == shard.service &&
        fleet::IsInShard(id, shard))
      upstreams.insert(id);
  }
  return upstreams;
}

fleet::UpstreamRecord DrawRecord(base::Rng& rng, std::uint64_t newest) {
  fleet::UpstreamRecord record =
      MakeUpstreamRecord("u" + std::to_string(base::UniformBelow(rng, 6)), 6);
  record.entry.service = {kServices[base::UniformBelow(rng, 3)]};
  record.entry.address =
      "10.0.0." + std::to_string(base::UniformBelow(rng, 3) + 1) + ":80";
  record.entry.incarnation = {base::UniformBelow(rng, 3) + 1};
  if (base::UniformBelow(rng, 4) == 0)
    record.entry.phase = fleet::UpstreamPhase::kDraining;
  record.removed = base::UniformBelow(rng, 4) == 0;
  // Some records arrive late, or twice.
  record.change_revision = {newest - base::UniformBelow(rng, 4)};
  return record;
}

}  // namespace

// Guards against an upstream that stays in use for its old service after its
// entry has named another one, even when it is removed later.
BOOST_AUTO_TEST_CASE(UpstreamsLeaveTheServiceThatTheirEntriesNoLongerName) {
  DispatchFixture fixture(2, 6);
  fleet::UpstreamRecord record = MakeUpstreamRecord("u0", 6);
  record.entry.service = {"unknown"};
  OnUpstreamRecord(fixture.dispatcher, record, fixture.now, fixture.rng);
  record.removed = true;
  OnUpstreamRecord(fixture.dispatcher, record, fixture.now, fixture.rng);
  for (int i = 0; i < 6; ++i) {
    const Grant* grant =
        fixture.RequestSlot("d", fixture.MakeSlotRequest(false));
    BOOST_REQUIRE(grant);
    BOOST_TEST(grant->upstream.value == "u1");
  }
  BOOST_TEST(!fixture.RequestSlot("d", fixture.MakeSlotRequest(false)));
}

// Guards against shards that hold other upstreams than the view names for them,
// after any sequence of entries.
BOOST_AUTO_TEST_CASE(ShardsHoldTheUpstreamsOfTheView) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    DispatchFixture fixture(0, 1);
    fixture.rng.seed(seed);
    fleet::View view;
    std::vector<fleet::UpstreamRecord> records;
    for (std::uint64_t step = 10; step < 50; ++step) {
      const bool is_repeated =
          !records.empty() && base::UniformBelow(fixture.rng, 5) == 0;
      records.push_back(is_repeated ? Choose(records, fixture.rng)
                                    : DrawRecord(fixture.rng, step));
      if (fleet::MergeUpstream(view, records.back()))
        OnUpstreamRecord(fixture.dispatcher,
                         view.upstreams.at(records.back().entry.id),
                         fixture.now, fixture.rng);
      SlotRequest slot_request = fixture.MakeSlotRequest(true);
      slot_request.work_class.service = {
          kServices[base::UniformBelow(fixture.rng, 2)]};
      slot_request.shard_count =
          1 + static_cast<std::uint32_t>(base::UniformBelow(fixture.rng, 2));
      if (const Grant* grant = fixture.RequestSlot("d", slot_request)) {
        const Grant copy = *grant;
        fixture.EndAttempt("d", copy, Outcome::kServed);
      }
      for (const auto& [shard, shard_state] : fixture.dispatcher.shards) {
        std::set<base::UpstreamId> held;
        for (const auto& [id, upstream] : shard_state.upstreams)
          held.insert(id);
        BOOST_REQUIRE_MESSAGE(held == UpstreamsInView(view, shard),
                              "seed " << seed << ", step " << step);
      }
    }
  }
}

}  // namespace poplarfork::dispatch
