#pragma once

#include <cstdint>
#include <string>

#include "fleet/shard_type.h"
#include "fleet/view_type.h"

namespace poplarfork::fleet {

// Minimum number of upstreams per shard, on average. The number of shards is
// rounded down to a power of two. The load pattern that this handles is a
// service with hundreds of upstreams and 1,200 requests per second: these are
// three times as many messages as a dispatcher on a VM with a tenth of a core
// can handle. A service with fewer than 2 * kUpstreamsPerShard upstreams has
// one shard, so services of the usual size, 25 to 31 upstreams, are not split.
inline constexpr std::size_t kUpstreamsPerShard = 24;

// Returns the number of slots of the ready upstreams of `service` in each
// shard. There is at least one shard.
ShardSlots ComputeShardSlots(const View& view, const base::ServiceId& service);

// Tells whether an upstream belongs to `shard`. The result is the same on every
// daemon.
bool IsInShard(const base::UpstreamId& upstream, const Shard& shard);

// Chooses a shard for a request, in proportion to the shards' slots. The same
// fingerprint is always assigned to the same shard, so that the shard's
// dispatcher recognizes a request that crashes upstreams. `excluded_shard`, if
// not null, is not chosen unless it is the only shard.
std::uint32_t ChooseShard(const ShardSlots& slots,
                          std::uint64_t fingerprint,
                          const std::uint32_t* excluded_shard);

// Returns the key by which the members are ranked to find the shard's
// dispatcher.
std::string DispatcherKey(const Shard& shard);

}  // namespace poplarfork::fleet
