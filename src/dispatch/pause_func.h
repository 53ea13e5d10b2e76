#pragma once

#include <optional>

#include "base/time_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// The load pattern that these functions handle is an upstream that turns
// requests of one daemon away and wants none from it for some time, while the
// other daemons go on.

// Remembers that the upstream wants no requests of the daemon for `pause`. Of
// more than kMaxPausedDaemons daemons, those whose pauses end first are
// forgotten; they keep to their pauses by themselves.
void PauseDaemon(UpstreamState& upstream,
                 const base::DaemonId& daemon,
                 base::Duration pause,
                 base::TimePoint now);

// Tells whether the upstream wants no requests of the daemon at present.
bool IsDaemonPaused(const UpstreamState& upstream,
                    const base::DaemonId& daemon,
                    base::TimePoint now);

// Returns the time until the first upstream takes requests of the daemon again
// if all upstreams that the request could be sent to want none of the daemon,
// and nothing otherwise.
std::optional<base::Duration> PauseOfAllUpstreams(
    const ShardState& shard_state,
    const base::DaemonId& daemon,
    const SlotRequest& slot_request,
    base::TimePoint now);

// The pauses that a daemon keeps to by itself. Of more than
// kMaxPausingUpstreams upstreams, those whose pauses end first are forgotten.
void PauseUpstream(UpstreamPauses& pauses,
                   const base::UpstreamId& upstream,
                   base::Duration pause,
                   base::TimePoint now);

// Returns the time for which the upstream still wants no requests; zero if
// there is none.
base::Duration PauseLeft(const UpstreamPauses& pauses,
                         const base::UpstreamId& upstream,
                         base::TimePoint now);

inline constexpr std::size_t kMaxPausedDaemons = 64;
inline constexpr std::size_t kMaxPausingUpstreams = 4096;

}  // namespace poplarfork::dispatch
