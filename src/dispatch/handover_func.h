#pragma once

#include <optional>

#include "dispatch/dispatcher_type.h"
#include "dispatch/handover_type.h"

namespace poplarfork::dispatch {

// These functions hand over what a dispatcher has learned to its successor. The
// load pattern that this handles is dispatchers that are stopped, killed or cut
// off every few seconds in a large fleet: a successor without knowledge sends
// work that may run only once to upstreams that hang, and fills slots that are
// in use.
//
// A digest is advice only. It grants nothing, so two dispatchers that act at
// the same time cannot cause a second run; digests that are lost, late,
// repeated or malformed cost knowledge and nothing else.

// Returns the digest of a shard that this dispatcher is active for, or null if
// it is not.
std::optional<ShardDigest> MakeDigest(Dispatcher& dispatcher,
                                      const fleet::Shard& shard,
                                      base::TimePoint now);

// Stores a digest until it is needed or outdated. Returns false if it was
// ignored: it is older than one that is known, or impossible.
bool OnDigest(Dispatcher& dispatcher,
              const base::DaemonId& from,
              const ShardDigest& digest,
              base::TimePoint now);

// Prepares a dispatcher that was not active for the shard for its first slot
// request: it uses the digest of the shard if there is a recent one.
void TakeUpShard(Dispatcher& dispatcher,
                 const fleet::Shard& shard,
                 ShardState& shard_state,
                 base::TimePoint now);

// Drops outdated digests.
void ExpireDigests(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
