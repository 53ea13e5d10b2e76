#include "dispatch/shard_state_func.h"

#include <utility>

#include "fleet/shard_func.h"

namespace poplarfork::dispatch {

namespace {

// A slot request with more shards than the largest service needs is malformed.
constexpr std::uint32_t kMaxShards = 4096;

// The state of one of several shards of a service is dropped when no slot
// request has arrived for this long, because what is known about the health of
// its upstreams is then out of date.
constexpr base::Duration kShardLifetime = std::chrono::seconds(60);

// Time for which an upstream is assumed to have been without a request when it
// becomes known: another dispatcher may have left it out.
constexpr base::Duration kUnknownCoverageAge = std::chrono::milliseconds(700);

}  // namespace

fleet::Shard RequestedShard(const SlotRequest& slot_request) {
  return {slot_request.work_class.service, slot_request.shard_index,
          slot_request.shard_count};
}

ShardState* FindOrCreateShard(Dispatcher& dispatcher,
                              const fleet::Shard& shard,
                              base::TimePoint now) {
  const auto known = dispatcher.shards.find(shard);
  if (known != dispatcher.shards.end())
    return &known->second;
  if (shard.count == 0 || shard.count > kMaxShards ||
      shard.index >= shard.count)
    return nullptr;
  ShardState shard_state;
  shard_state.limit_share = 1.0 / shard.count;
  for (const auto& [id, entry] : dispatcher.upstreams) {
    if (entry.service == shard.service && fleet::IsInShard(id, shard))
      UpdateUpstreamEntry(shard_state, entry, now);
  }
  if (shard_state.upstreams.empty())
    return nullptr;
  return &dispatcher.shards.emplace(shard, std::move(shard_state))
              .first->second;
}

void UpdateUpstreamEntry(ShardState& shard_state,
                         const fleet::UpstreamEntry& entry,
                         base::TimePoint now) {
  const auto known = shard_state.upstreams.find(entry.id);
  if (known != shard_state.upstreams.end() &&
      known->second.entry.incarnation == entry.incarnation &&
      known->second.entry.address == entry.address) {
    known->second.entry = entry;
    return;
  }
  UpstreamState replacement;
  replacement.entry = entry;
  replacement.decayed_at = now;
  replacement.covered_at = now - kUnknownCoverageAge;
  replacement.fault_estimate.as_of = now;
  if (known != shard_state.upstreams.end()) {
    replacement.running_count = known->second.running_count;
    replacement.open_attempts = known->second.open_attempts;
  }
  shard_state.upstreams[entry.id] = std::move(replacement);
}

void ExpireShards(Dispatcher& dispatcher, base::TimePoint now) {
  std::erase_if(dispatcher.shards, [now](const auto& item) {
    return item.second.queue.empty() && item.first.count > 1 &&
           now - item.second.last_slot_request_at > kShardLifetime;
  });
}

}  // namespace poplarfork::dispatch
