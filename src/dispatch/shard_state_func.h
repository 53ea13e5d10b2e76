#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Returns what is known of a shard, made from all known upstreams if this is
// the first question for it. Null if the service has no upstreams or `shard`
// is none of its shards.
ServiceState* FindShard(Dispatcher& dispatcher,
                        const fleet::Shard& shard,
                        base::TimePoint now);

// Takes over an upstream's entry into one shard.
void TakeEntry(ServiceState& service,
               const fleet::UpstreamEntry& entry,
               base::TimePoint now);

// Drops shards that nobody asked for lately; the number of a service's shards
// changes with the number of its upstreams.
void ForgetShards(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
