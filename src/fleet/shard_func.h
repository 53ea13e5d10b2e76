#pragma once

#include <cstdint>
#include <string>

#include "fleet/shard_type.h"
#include "fleet/view_type.h"

namespace poplarfork::fleet {

// Splits a service's upstreams into as many shards as their number needs. Load
// pattern answered: hundreds of upstreams with 1,200 requests a second, three
// times as many messages as the dispatcher's VM of a tenth of a core can take.
// A service of fewer than 2 * kUpstreamsPerShard upstreams has one shard, so
// that those of the usual size, 25 to 31, are not split.
inline constexpr std::size_t kUpstreamsPerShard = 24;

// Slots of the ready upstreams of `service`, by shard; one shard at least.
ShardSlots MakeShards(const View& view, const base::ServiceId& service);

// Tells whether an upstream belongs to `shard`; it is the same on every daemon.
bool BelongsTo(const base::UpstreamId& upstream, const Shard& shard);

// Chooses a shard for a request, in proportion to the shards' slots. The same
// fingerprint gets the same shard again, so that its dispatcher recognizes a
// request that crashes upstreams. `other_than` is passed over, unless it is the
// only one.
std::uint32_t ChooseShard(const ShardSlots& slots,
                          std::uint64_t fingerprint,
                          const std::uint32_t* other_than);

// Key by which the shard's dispatcher is ranked among the members.
std::string DispatcherKey(const Shard& shard);

}  // namespace poplarfork::fleet
