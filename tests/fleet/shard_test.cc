#include <boost/test/unit_test.hpp>

#include <cmath>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/hash_func.h"
#include "fleet/shard_func.h"
#include "fleet/view_func.h"

namespace poplarfork::fleet {

namespace {

constexpr base::TimePoint kNow{std::chrono::seconds(100)};
const base::ServiceId kService{"orders"};

View MakeView(std::size_t upstreams) {
  View view;
  view.self = {"m0"};
  for (std::size_t i = 0; i < upstreams; ++i) {
    UpstreamRecord record;
    record.entry.id = {"u" + std::to_string(i)};
    record.entry.service = kService;
    record.entry.slots = 6;
    record.change_revision = {i + 1};
    MergeUpstream(view, record);
  }
  return view;
}

MemberRecord MakeMember(const std::string& id, double capacity) {
  MemberRecord record;
  record.member.id = {id};
  record.member.capacity = capacity;
  record.change_revision = {1};
  return record;
}

}  // namespace

// Guards against a small service whose slots are split without need, so that
// one shard of a few upstreams is full while another is idle.
BOOST_AUTO_TEST_CASE(SmallServicesHaveOneShard) {
  BOOST_TEST(ComputeShardSlots(MakeView(0), kService).size() == 1U);
  BOOST_TEST(ComputeShardSlots(MakeView(31), kService).size() == 1U);
  BOOST_TEST(ComputeShardSlots(MakeView(47), kService).size() == 1U);
  BOOST_TEST(ComputeShardSlots(MakeView(48), kService).size() == 2U);
  BOOST_TEST(ComputeShardSlots(MakeView(351), kService).size() == 8U);
}

// Guards against upstreams that belong to no shard or to two shards.
BOOST_AUTO_TEST_CASE(EachUpstreamBelongsToOneShard) {
  const View view = MakeView(351);
  const ShardSlots slots = ComputeShardSlots(view, kService);
  const auto count = static_cast<std::uint32_t>(slots.size());
  std::uint32_t all = 0;
  for (const std::uint32_t shard_slots : slots)
    all += shard_slots;
  BOOST_TEST(all == 351U * 6U);
  for (const auto& [id, record] : view.upstreams) {
    std::uint32_t shard_matches = 0;
    for (std::uint32_t i = 0; i < count; ++i)
      shard_matches += IsInShard(id, {kService, i, count}) ? 1 : 0;
    BOOST_TEST(shard_matches == 1U);
  }
}

// Guards against shards that receive more requests than their share of the
// slots, and against a request that is sent to a different dispatcher each time
// it is repeated.
BOOST_AUTO_TEST_CASE(RequestsAreDistributedBySlots) {
  const ShardSlots slots{300, 100, 0, 200};
  std::vector<std::uint32_t> chosen(slots.size());
  for (std::uint64_t i = 0; i < 6000; ++i) {
    const std::uint64_t fingerprint = base::StableHash(std::to_string(i));
    const std::uint32_t shard = ChooseShard(slots, fingerprint, nullptr);
    ++chosen[shard];
    BOOST_TEST(ChooseShard(slots, fingerprint, nullptr) == shard);
    BOOST_TEST(ChooseShard(slots, fingerprint, &shard) != shard);
  }
  BOOST_TEST(chosen[2] == 0U);
  for (std::size_t i = 0; i < slots.size(); ++i)
    BOOST_TEST(std::abs(static_cast<int>(chosen[i]) -
                        static_cast<int>(slots[i]) * 10) < 200);
  const std::uint32_t only = 0;
  BOOST_TEST(ChooseShard({5}, 1, &only) == 0U);
}

// Guards against a small VM that reads the store or dispatches for all although
// larger VMs are available. Simulates 8 VMs with half a core and 100 VMs with a
// tenth of a core.
BOOST_AUTO_TEST_CASE(LargerVmsRankFirst) {
  View view;
  view.self = {"small0"};
  for (int i = 0; i < 8; ++i)
    MergeMember(view, MakeMember("large" + std::to_string(i), 0.5));
  for (int i = 0; i < 100; ++i)
    MergeMember(view, MakeMember("small" + std::to_string(i), 0.1));
  int large = 0;
  for (int key = 0; key < 1000; ++key) {
    const auto first = RankMembers(view, std::to_string(key), 1, kNow);
    large += first.front().value.starts_with("large") ? 1 : 0;
  }
  // With the cube of the capacity, the 8 large VMs weigh 8 * 0.125 = 1 and the
  // 100 small ones 100 * 0.001 = 0.1, so a large VM is expected first for
  // 909 of 1000 keys (1 of 1.1).
  BOOST_TEST(large > 850);
  BOOST_TEST(large < 1000);
}

// Guards against capacities that other daemons report and by which members
// cannot be ranked, such as 0, NaN or 1e300.
BOOST_AUTO_TEST_CASE(AnyCapacityCanBeRanked) {
  BOOST_TEST(ClampCapacity(0) == kDefaultCapacityCores);
  BOOST_TEST(ClampCapacity(-1) == kDefaultCapacityCores);
  BOOST_TEST(ClampCapacity(std::nan("")) == kDefaultCapacityCores);
  BOOST_TEST(ClampCapacity(1e300) < 1e3);
  BOOST_TEST(ClampCapacity(1e-300) > 1e-3);
}

}  // namespace poplarfork::fleet
