#include "load/account_limits_func.h"

#include <algorithm>

#include "allowance/token_bucket_func.h"
#include "base/hash_func.h"

namespace poplarfork::load {

namespace {

constexpr base::Duration kSweepInterval = std::chrono::seconds(10);

}  // namespace

AccountShare DivideAccountLimit(double rate,
                                double burst,
                                std::uint32_t daemons) {
  const double daemon_count = std::max<std::uint32_t>(daemons, 1);
  return {.rate = rate / daemon_count,
          .burst = std::max(burst / daemon_count, 1.0)};
}

std::optional<base::Duration> TakeToken(AccountLimits& limits,
                                        const base::AccountId& account,
                                        const AccountShare& share,
                                        base::TimePoint now) {
  if (share.rate <= 0)
    return allowance::kMaxTokenWait;
  const AccountHash hash{base::StableHash(account.value)};
  const auto found = limits.buckets.find(hash);
  allowance::TokenBucket bucket =
      found != limits.buckets.end() ? found->second : allowance::TokenBucket{};
  const base::Duration wait = allowance::TimeUntilTokens(bucket, share, 1, now);
  if (wait > base::Duration(0))
    return wait;
  allowance::TakeTokens(bucket, share, 1, now);
  limits.buckets[hash] = bucket;
  return std::nullopt;
}

void SweepFullBuckets(AccountLimits& limits, base::TimePoint now) {
  if (now - limits.last_sweep_at < kSweepInterval)
    return;
  limits.last_sweep_at = now;
  std::erase_if(limits.buckets, [now](const auto& entry) {
    return entry.second.full_at <= now;
  });
}

}  // namespace poplarfork::load
