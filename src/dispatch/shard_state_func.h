#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Returns the shard from which the slot is requested.
fleet::Shard RequestedShard(const SlotRequest& slot_request);

// Returns the state of a shard. If there is none yet, it is created from all
// known upstreams. Returns null if the service has no upstreams or `shard` is
// not a valid shard.
ShardState* FindOrCreateShard(Dispatcher& dispatcher,
                              const fleet::Shard& shard,
                              base::TimePoint now);

// Adds an upstream's entry to a shard or updates it. The health state starts
// anew if the upstream has restarted or has a new address.
void UpdateUpstreamEntry(ShardState& shard_state,
                         const fleet::UpstreamEntry& entry,
                         base::TimePoint now);

// Drops the shards that have received no slot request recently, because the
// number of a service's shards changes with the number of its upstreams. The
// state of a service with one shard is kept.
void ExpireShards(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
