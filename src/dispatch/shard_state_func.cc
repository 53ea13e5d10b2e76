#include "dispatch/shard_state_func.h"

#include <utility>

#include "fleet/shard_func.h"

namespace poplarfork::dispatch {

namespace {

// A slot request with more shards than the largest service needs is malformed.
constexpr std::uint32_t kMaxShards = 4096;

// The state of a shard is dropped when no slot request has arrived for this
// long, because what is known about the health of its upstreams is then out of
// date.
constexpr base::Duration kShardMemory = std::chrono::seconds(60);

}  // namespace

ServiceState* FindShard(Dispatcher& dispatcher,
                        const fleet::Shard& shard,
                        base::TimePoint now) {
  const auto known = dispatcher.shards.find(shard);
  if (known != dispatcher.shards.end())
    return &known->second;
  if (shard.count == 0 || shard.count > kMaxShards ||
      shard.index >= shard.count)
    return nullptr;
  ServiceState state;
  state.share = 1.0 / shard.count;
  for (const auto& [id, entry] : dispatcher.upstreams) {
    if (entry.service == shard.service && fleet::BelongsTo(id, shard))
      TakeEntry(state, entry, now);
  }
  if (state.upstreams.empty())
    return nullptr;
  return &dispatcher.shards.emplace(shard, std::move(state)).first->second;
}

void TakeEntry(ServiceState& service,
               const fleet::UpstreamEntry& entry,
               base::TimePoint now) {
  const auto known = service.upstreams.find(entry.id);
  if (known != service.upstreams.end() &&
      known->second.entry.incarnation == entry.incarnation &&
      known->second.entry.address == entry.address) {
    known->second.entry = entry;
    return;
  }
  UpstreamState fresh;
  fresh.entry = entry;
  fresh.evidence_at = now;
  if (known != service.upstreams.end()) {
    fresh.running = known->second.running;
    fresh.granted_at = known->second.granted_at;
  }
  service.upstreams[entry.id] = std::move(fresh);
}

void ForgetShards(Dispatcher& dispatcher, base::TimePoint now) {
  std::erase_if(dispatcher.shards, [now](const auto& item) {
    return item.second.waiting.empty() && item.first.count > 1 &&
           now - item.second.asked_at > kShardMemory;
  });
}

}  // namespace poplarfork::dispatch
