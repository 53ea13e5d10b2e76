#include "fleet/shard_func.h"

#include <algorithm>
#include <bit>

#include "base/hash_func.h"

namespace poplarfork::fleet {

namespace {

// Returns a power of two, so that shards are halved or joined when the number
// changes, and half of the upstreams stay with their dispatcher.
std::uint32_t ShardCount(std::size_t upstreams) {
  return std::bit_floor(static_cast<std::uint32_t>(
      std::max<std::size_t>(upstreams / kUpstreamsPerShard, 1)));
}

bool IsReadyUpstream(const UpstreamRecord& record,
                     const base::ServiceId& service) {
  return !record.removed && record.entry.service == service &&
         record.entry.phase == UpstreamPhase::kReady;
}

std::uint32_t ShardIndex(const base::UpstreamId& upstream,
                         std::uint32_t count) {
  return static_cast<std::uint32_t>(base::StableHash(upstream.value) % count);
}

}  // namespace

ShardSlots ComputeShardSlots(const View& view, const base::ServiceId& service) {
  std::size_t ready = 0;
  for (const auto& [id, record] : view.upstreams)
    ready += IsReadyUpstream(record, service) ? 1 : 0;
  ShardSlots slots(ShardCount(ready));
  for (const auto& [id, record] : view.upstreams) {
    if (IsReadyUpstream(record, service))
      slots[ShardIndex(id, static_cast<std::uint32_t>(slots.size()))] +=
          record.entry.slots;
  }
  return slots;
}

bool IsInShard(const base::UpstreamId& upstream, const Shard& shard) {
  return shard.count <= 1 || ShardIndex(upstream, shard.count) == shard.index;
}

std::uint32_t ChooseShard(const ShardSlots& slots,
                          std::uint64_t fingerprint,
                          const std::uint32_t* excluded_shard) {
  if (slots.size() <= 1)
    return 0;
  const std::string key = std::to_string(fingerprint);
  std::uint32_t best = 0;
  double best_rank = -1;
  for (std::uint32_t i = 0; i < slots.size(); ++i) {
    if (excluded_shard && *excluded_shard == i)
      continue;
    // With rendezvous hashing, a change of one shard's slots moves few requests
    // to another shard.
    const double rank =
        base::WeightedRendezvousRank(key, std::to_string(i), slots[i]);
    if (rank > best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

std::string DispatcherKey(const Shard& shard) {
  std::string key = "dispatch:" + shard.service.value;
  if (shard.count > 1)
    key.append(1, ':').append(std::to_string(shard.index));
  return key;
}

}  // namespace poplarfork::fleet
