#include "dispatch/handover_func.h"

#include <algorithm>
#include <cmath>

#include "dispatch/admission_func.h"
#include "dispatch/coverage_func.h"
#include "dispatch/fault_estimate_func.h"
#include "dispatch/leaving_func.h"
#include "dispatch/rate_limit_func.h"

namespace poplarfork::dispatch {

namespace {

// A digest that is older than this says little: gray failures last seconds.
constexpr base::Duration kMaxDigestAge = std::chrono::milliseconds(3000);

// A dispatcher that has had no slot request for this long takes the role up
// anew at the next one. Below the load of one request a second there is hardly
// anything to hand over.
constexpr base::Duration kInactiveTime = std::chrono::milliseconds(1000);

// A dispatcher that has been active for the shard within this time still has
// some knowledge of its own.
constexpr base::Duration kOwnKnowledgeLifetime = std::chrono::seconds(30);

// Upper limit of the digests that are kept. A daemon is the next in rank for a
// few shards.
constexpr std::size_t kMaxDigests = 256;

// Samples that a mean duration from a digest counts as. They let it be used at
// once, and few own samples correct it.
constexpr std::uint32_t kDigestSamples = 20;

// Suspension of an upstream that the previous dispatcher had suspended.
constexpr base::Duration kInheritedSuspension = std::chrono::milliseconds(500);

bool IsActive(const ShardState& shard_state, base::TimePoint now) {
  return shard_state.last_slot_request_at != base::TimePoint{} &&
         now - shard_state.last_slot_request_at < kInactiveTime;
}

bool IsPossible(const ShardDigest& digest) {
  return digest.shard.count > 0 && digest.shard.index < digest.shard.count &&
         std::isfinite(digest.retry_tokens) &&
         std::isfinite(digest.request_rate) && digest.retry_tokens >= 0 &&
         digest.request_rate >= 0;
}

void ApplyUpstreamDigest(UpstreamState& upstream,
                         const UpstreamDigest& digest,
                         base::Duration age,
                         base::TimePoint now) {
  const bool possible = digest.fault_probability > 0 &&
                        digest.fault_probability < 1 && digest.slowness > 0 &&
                        std::isfinite(digest.slowness);
  if (!possible || upstream.entry.incarnation != digest.incarnation)
    return;
  upstream.fault_estimate = {digest.fault_probability, now - age};
  upstream.slowness = std::clamp(digest.slowness, 0.25, 4.0);
  upstream.covered_at =
      now - age -
      std::clamp(digest.uncovered_for, base::Duration(0), kMaxDigestAge);
  // The attempts that the previous dispatcher granted count as another
  // dispatcher's, until responses report the load.
  upstream.foreign_requests =
      std::min(digest.running_count, upstream.entry.slots);
  upstream.load_reported_at = now - age;
  if (digest.rate_limit)
    InheritLimit(upstream, *digest.rate_limit, digest.rate_tokens, now);
  if (!digest.suspended || upstream.health_status != HealthStatus::kHealthy)
    return;
  upstream.health_status = HealthStatus::kSuspended;
  upstream.suspended_at = now;
  upstream.suspended_until = now + kInheritedSuspension;
  upstream.next_suspension = 2 * kInheritedSuspension;
}

void ApplyDigest(const Settings& settings,
                 const ReceivedDigest& received,
                 ShardState& shard_state,
                 base::TimePoint now) {
  const base::Duration age = now - received.received_at;
  for (const UpstreamDigest& digest : received.digest.upstreams) {
    const auto upstream = shard_state.upstreams.find(digest.id);
    if (upstream != shard_state.upstreams.end())
      ApplyUpstreamDigest(upstream->second, digest, age, now);
  }
  const base::ServiceId& service = received.digest.shard.service;
  for (const DurationDigest& digest : received.digest.durations) {
    DurationStats& stats =
        shard_state
            .duration_stats[{service, digest.repeatable, digest.priority}];
    if (stats.samples < kDigestSamples && digest.mean_duration.count() > 0)
      stats = {static_cast<double>(digest.mean_duration.count()),
               kDigestSamples};
  }
  InheritRetryBudget(settings, shard_state, received.digest.retry_tokens,
                     received.digest.request_rate, now);
}

}  // namespace

std::optional<ShardDigest> MakeDigest(Dispatcher& dispatcher,
                                      const fleet::Shard& shard,
                                      base::TimePoint now) {
  const auto found = dispatcher.shards.find(shard);
  if (found == dispatcher.shards.end() || !IsActive(found->second, now))
    return std::nullopt;
  const ShardState& shard_state = found->second;
  ShardDigest digest;
  digest.shard = shard;
  digest.sequence = ++dispatcher.digest_sequence;
  digest.retry_tokens = shard_state.retry_budget.tokens;
  digest.request_rate = shard_state.retry_budget.request_rate;
  for (const auto& [id, upstream] : shard_state.upstreams) {
    digest.upstreams.push_back(
        {id, upstream.entry.incarnation, FaultProbability(upstream, now),
         upstream.health_status == HealthStatus::kSuspended,
         IsLeaving(dispatcher, id), upstream.running_count, upstream.slowness,
         now - upstream.covered_at, std::nullopt, 0});
    if (upstream.rate_limit) {
      digest.upstreams.back().rate_limit = upstream.rate_limit->per_second;
      digest.upstreams.back().rate_tokens = upstream.rate_limit->tokens;
    }
  }
  for (const auto& [work_class, stats] : shard_state.duration_stats) {
    if (stats.samples >= kDigestSamples)
      digest.durations.push_back(
          {work_class.repeatable, work_class.priority,
           base::Duration(static_cast<std::int64_t>(stats.mean_us))});
  }
  return digest;
}

bool OnDigest(Dispatcher& dispatcher,
              const base::DaemonId& from,
              const ShardDigest& digest,
              base::TimePoint now) {
  if (!IsPossible(digest))
    return false;
  const auto found = dispatcher.digests.find(digest.shard);
  if (found == dispatcher.digests.end() &&
      dispatcher.digests.size() >= kMaxDigests)
    return false;
  if (found != dispatcher.digests.end() && found->second.from == from &&
      found->second.digest.sequence >= digest.sequence &&
      now - found->second.received_at < kMaxDigestAge)
    return false;
  for (const UpstreamDigest& upstream : digest.upstreams) {
    if (upstream.leaving)
      MarkLeaving(dispatcher, upstream.id, upstream.incarnation, now);
  }
  dispatcher.digests[digest.shard] = {from, digest, now};
  return true;
}

void TakeUpShard(Dispatcher& dispatcher,
                 const fleet::Shard& shard,
                 ShardState& shard_state,
                 base::TimePoint now) {
  if (IsActive(shard_state, now))
    return;
  const auto found = dispatcher.digests.find(shard);
  const bool is_recent = found != dispatcher.digests.end() &&
                         now - found->second.received_at <= kMaxDigestAge;
  if (is_recent)
    ApplyDigest(dispatcher.settings, found->second, shard_state, now);
  else if (shard_state.last_slot_request_at == base::TimePoint{} ||
           now - shard_state.last_slot_request_at > kOwnKnowledgeLifetime)
    AssumeLossy(shard_state.loss_stats, now);
  if (found != dispatcher.digests.end())
    dispatcher.digests.erase(found);
}

void ExpireDigests(Dispatcher& dispatcher, base::TimePoint now) {
  std::erase_if(dispatcher.digests, [now](const auto& item) {
    return now - item.second.received_at > kMaxDigestAge;
  });
}

}  // namespace poplarfork::dispatch
