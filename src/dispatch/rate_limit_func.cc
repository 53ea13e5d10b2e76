#include "dispatch/rate_limit_func.h"

#include <algorithm>
#include <cmath>

namespace poplarfork::dispatch {

namespace {

// Rate at which requests go to an upstream with a lower limit. Only a response
// shows that the limit has ended.
constexpr double kMinRate = 0.25;

// Time whose requests may be sent at once after a pause.
constexpr double kBurstSeconds = 0.5;

double MaxTokens(double per_second) {
  return std::max(per_second * kBurstSeconds, 1.0);
}

double TokensAt(const RateLimit& limit, base::TimePoint now) {
  const double seconds = std::max(
      std::chrono::duration<double>(now - limit.refilled_at).count(), 0.0);
  return std::min(limit.tokens + limit.per_second * seconds,
                  MaxTokens(limit.per_second));
}

void Refill(RateLimit& limit, base::TimePoint now) {
  limit.tokens = TokensAt(limit, now);
  limit.refilled_at = now;
}

void SetLimit(UpstreamState& upstream, double per_second, base::TimePoint now) {
  // What was sent before the limit was known counts as well, so the bucket
  // begins empty.
  if (!upstream.rate_limit)
    upstream.rate_limit.emplace().refilled_at = now;
  RateLimit& limit = *upstream.rate_limit;
  Refill(limit, now);
  limit.per_second = std::max(per_second, kMinRate);
  limit.tokens = std::min(limit.tokens, MaxTokens(limit.per_second));
  limit.stated_at = now;
}

}  // namespace

void ApplyStatedLimit(UpstreamState& upstream,
                      std::optional<double> per_second,
                      base::TimePoint granted_at,
                      base::TimePoint now) {
  if (per_second)
    SetLimit(upstream, *per_second, now);
  else if (upstream.rate_limit && granted_at > upstream.rate_limit->stated_at)
    upstream.rate_limit.reset();
}

bool LearnStatedLimit(Dispatcher& dispatcher,
                      const base::UpstreamId& id,
                      double per_second,
                      base::TimePoint now) {
  bool is_new = false;
  for (auto& [shard, shard_state] : dispatcher.shards) {
    const auto upstream = shard_state.upstreams.find(id);
    if (upstream == shard_state.upstreams.end())
      continue;
    is_new |= !upstream->second.rate_limit;
    SetLimit(upstream->second, per_second, now);
  }
  return is_new;
}

void InheritLimit(UpstreamState& upstream,
                  double per_second,
                  double tokens,
                  base::TimePoint now) {
  if (!std::isfinite(per_second) || !std::isfinite(tokens) || per_second < 0)
    return;
  SetLimit(upstream, per_second, now);
  upstream.rate_limit->tokens = std::min(upstream.rate_limit->tokens, tokens);
}

bool IsWithinLimit(const UpstreamState& upstream, base::TimePoint now) {
  return !upstream.rate_limit || TokensAt(*upstream.rate_limit, now) >= 1;
}

void CountTowardsLimit(UpstreamState& upstream, base::TimePoint now) {
  if (!upstream.rate_limit)
    return;
  Refill(*upstream.rate_limit, now);
  upstream.rate_limit->tokens -= 1;
}

void UncountTowardsLimit(UpstreamState& upstream) {
  if (upstream.rate_limit)
    upstream.rate_limit->tokens += 1;
}

double ApplyLimitToRate(const UpstreamState& upstream, double rate) {
  return upstream.rate_limit ? std::min(rate, upstream.rate_limit->per_second)
                             : rate;
}

}  // namespace poplarfork::dispatch
