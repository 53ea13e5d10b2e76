#include "dispatch/leaving_func.h"

namespace poplarfork::dispatch {

namespace {

// An upstream whose entry expired during a store outage writes it again without
// having restarted, so marks outlive entries by this time.
constexpr base::Duration kMarkLifetime = std::chrono::minutes(10);

}  // namespace

bool MarkLeaving(Dispatcher& dispatcher,
                 const base::UpstreamId& id,
                 base::Incarnation incarnation,
                 base::TimePoint now) {
  const auto known = dispatcher.upstreams.find(id);
  if (known != dispatcher.upstreams.end()) {
    if (incarnation.value != 0 && known->second.incarnation != incarnation)
      return false;
    known->second.phase = fleet::UpstreamPhase::kDraining;
    incarnation = known->second.incarnation;
  }
  for (auto& [shard, shard_state] : dispatcher.shards) {
    const auto upstream = shard_state.upstreams.find(id);
    if (upstream != shard_state.upstreams.end())
      upstream->second.entry.phase = fleet::UpstreamPhase::kDraining;
  }
  return dispatcher.leaving.insert_or_assign(id, LeavingMark{incarnation, now})
      .second;
}

bool IsLeaving(const Dispatcher& dispatcher, const base::UpstreamId& id) {
  return dispatcher.leaving.contains(id);
}

fleet::UpstreamEntry ApplyLeavingMark(Dispatcher& dispatcher,
                                      fleet::UpstreamEntry entry) {
  const auto mark = dispatcher.leaving.find(entry.id);
  if (mark == dispatcher.leaving.end())
    return entry;
  base::Incarnation& incarnation = mark->second.incarnation;
  if (incarnation.value == 0)
    incarnation = entry.incarnation;
  if (incarnation == entry.incarnation)
    entry.phase = fleet::UpstreamPhase::kDraining;
  else
    dispatcher.leaving.erase(mark);
  return entry;
}

void ExpireLeavingMarks(Dispatcher& dispatcher, base::TimePoint now) {
  std::erase_if(dispatcher.leaving, [&dispatcher, now](const auto& item) {
    return now - item.second.learned_at > kMarkLifetime &&
           !dispatcher.upstreams.contains(item.first);
  });
}

}  // namespace poplarfork::dispatch
