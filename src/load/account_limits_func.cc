#include "load/account_limits_func.h"

#include <algorithm>
#include <cmath>

#include "base/hash_func.h"

namespace poplarfork::load {

namespace {

constexpr base::Duration kSweepInterval = std::chrono::seconds(10);

// Longest wait that a caller is told; also the wait for an account whose rate
// is 0.
constexpr base::Duration kMaxWait = std::chrono::hours(1);

base::Duration RefillTime(double tokens, double rate) {
  if (rate <= 0)
    return kMaxWait;
  const double seconds = tokens / rate;
  const double max_seconds = std::chrono::duration<double>(kMaxWait).count();
  return std::chrono::ceil<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

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
    return kMaxWait;
  const AccountHash hash{base::StableHash(account.value)};
  const auto found = limits.bucket_full_at.find(hash);
  const bool listed = found != limits.bucket_full_at.end();
  const base::TimePoint full_at = listed ? std::max(found->second, now) : now;
  const base::TimePoint full_after_request =
      full_at + RefillTime(1, share.rate);
  const base::Duration burst_tolerance = RefillTime(share.burst, share.rate);
  if (full_after_request - now > burst_tolerance)
    return full_after_request - now - burst_tolerance;
  if (listed)
    found->second = full_after_request;
  else
    limits.bucket_full_at.emplace(hash, full_after_request);
  return std::nullopt;
}

void SweepFullBuckets(AccountLimits& limits, base::TimePoint now) {
  if (now - limits.last_sweep_at < kSweepInterval)
    return;
  limits.last_sweep_at = now;
  std::erase_if(limits.bucket_full_at,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace poplarfork::load
