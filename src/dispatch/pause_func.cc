#include "dispatch/pause_func.h"

#include <algorithm>

namespace poplarfork::dispatch {

namespace {

// Adds a pause to those of a map, which holds at most `max_size` of them.
template <class Id>
void AddPause(std::map<Id, base::TimePoint>& pauses,
              const Id& id,
              base::TimePoint until,
              base::TimePoint now,
              std::size_t max_size) {
  std::erase_if(pauses, [now](const auto& item) { return item.second <= now; });
  base::TimePoint& known_until = pauses[id];
  known_until = std::max(known_until, until);
  if (pauses.size() <= max_size)
    return;
  pauses.erase(std::min_element(
      pauses.begin(), pauses.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

bool IsAvoided(const SlotRequest& slot_request, const base::UpstreamId& id) {
  return std::find(slot_request.avoid.begin(), slot_request.avoid.end(), id) !=
         slot_request.avoid.end();
}

}  // namespace

void PauseDaemon(UpstreamState& upstream,
                 const base::DaemonId& daemon,
                 base::Duration pause,
                 base::TimePoint now) {
  AddPause(upstream.paused_daemons, daemon, now + pause, now,
           kMaxPausedDaemons);
}

bool IsDaemonPaused(const UpstreamState& upstream,
                    const base::DaemonId& daemon,
                    base::TimePoint now) {
  const auto pause = upstream.paused_daemons.find(daemon);
  return pause != upstream.paused_daemons.end() && pause->second > now;
}

std::optional<base::Duration> PauseOfAllUpstreams(
    const ShardState& shard_state,
    const base::DaemonId& daemon,
    const SlotRequest& slot_request,
    base::TimePoint now) {
  std::optional<base::Duration> shortest;
  for (const auto& [id, upstream] : shard_state.upstreams) {
    if (upstream.entry.phase != fleet::UpstreamPhase::kReady ||
        IsAvoided(slot_request, id))
      continue;
    const auto pause = upstream.paused_daemons.find(daemon);
    if (pause == upstream.paused_daemons.end() || pause->second <= now)
      return std::nullopt;
    const base::Duration left = pause->second - now;
    shortest = shortest ? std::min(*shortest, left) : left;
  }
  return shortest;
}

void PauseUpstream(UpstreamPauses& pauses,
                   const base::UpstreamId& upstream,
                   base::Duration pause,
                   base::TimePoint now) {
  AddPause(pauses, upstream, now + pause, now, kMaxPausingUpstreams);
}

base::Duration PauseLeft(const UpstreamPauses& pauses,
                         const base::UpstreamId& upstream,
                         base::TimePoint now) {
  const auto pause = pauses.find(upstream);
  return pause == pauses.end()
             ? base::Duration(0)
             : std::max(pause->second - now, base::Duration(0));
}

}  // namespace poplarfork::dispatch
