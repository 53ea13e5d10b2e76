#pragma once

#include <optional>

#include "base/rng_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Returns the slots of `upstream` that are free as far as the dispatcher knows.
std::uint32_t FreeSlots(const UpstreamState& upstream, base::TimePoint now);

// Tells whether the request is lost if its next attempt fails. A repeatable
// request has used up most of its time when it is sent again.
bool MustSucceed(const SlotRequest& slot_request);

// Why a request is not sent to an upstream.
enum class Exclusion {
  kDraining,
  // The request has been granted this upstream before.
  kAvoided,
  // The upstream wants no requests of the daemon for some time.
  kDaemonPaused,
  // Connections of the daemon to the upstream failed recently.
  kPathFailed,
  kSuspended,
  // The upstream is on trial and runs as many requests as its trial allows.
  kTrialFull,
  kNoFreeSlot,
  // One more request would exceed the limit that the upstream states.
  kStatedLimit,
};

// Returns why PlaceRequest() does not choose the upstream unless it is due for
// coverage; nothing if it may be chosen. `below_floor` is the result of
// IsBelowFloor().
std::optional<Exclusion> FindExclusion(const UpstreamState& upstream,
                                       const base::DaemonId& daemon,
                                       const SlotRequest& slot_request,
                                       bool below_floor,
                                       base::TimePoint now);

// Tells whether so many upstreams are suspended that those left are below the
// floor. The suspended ones are then used again, because the failures may have
// a common cause and the remaining upstreams could not carry the load.
bool IsBelowFloor(const ShardState& shard_state, double floor_share);

// Upper limit of a random cost that breaks ties, so that idle upstreams share
// the requests.
inline constexpr double kTieBreakNoise = 0.05;

// Returns the cost of sending the request to the upstream, without the random
// cost that breaks ties. The upstream with the lowest cost is chosen.
double PlacementCost(const UpstreamState& upstream,
                     const SlotRequest& slot_request,
                     base::TimePoint now);

// Tells whether a request of `daemon` may be sent to the upstream as far as its
// entry and the paths to it are concerned, whatever its health status is.
bool MayBeSentTo(const UpstreamState& upstream,
                 const base::DaemonId& daemon,
                 const SlotRequest& slot_request,
                 base::TimePoint now);

// The upstream that was chosen for a request, or null, and why.
struct Placement {
  UpstreamState* upstream = nullptr;
  // The upstream was due for coverage.
  bool for_coverage = false;
};

// Chooses the upstream for a slot request of `daemon`, if there is one with a
// free slot. The load pattern that this handles is many daemons
// that each see only a few requests, in front of upstreams with few slots and
// different speeds. If each daemon chose by its own view alone, some upstreams
// would be full while others are idle.
Placement PlaceRequest(ShardState& shard_state,
                       const base::DaemonId& daemon,
                       const SlotRequest& slot_request,
                       double floor_share,
                       base::TimePoint now,
                       base::Rng& rng);

// Chooses the upstream for a hedge, if there is one that is healthy, has a free
// slot and is probably not faulty. The upstreams that were tried before, the
// last of which has the running attempt, are left out, and other data centres
// than that of the running attempt are preferred, because a fault may be common
// to the upstreams of one.
Placement PlaceHedge(ShardState& shard_state,
                     const base::DaemonId& daemon,
                     const SlotRequest& slot_request,
                     base::TimePoint now,
                     base::Rng& rng);

// Returns the number of requests per second that the upstreams of the shard can
// complete, without the suspended ones.
double CompletionRate(const ShardState& shard_state);

// Returns the mean duration of a class of work, or `fallback` if there are too
// few samples.
base::Duration MeanDuration(const ShardState& shard_state,
                            const WorkClass& work_class,
                            base::Duration fallback);

}  // namespace poplarfork::dispatch
