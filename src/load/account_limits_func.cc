#include "load/account_limits_func.h"

#include <algorithm>
#include <cmath>

#include "base/hash_func.h"

namespace poplarfork::load {

namespace {

constexpr base::Duration kSweepInterval = std::chrono::seconds(10);

// Longest wait that a caller is told; also the wait for an account whose rate
// is 0.
constexpr base::Duration kLongestWait = std::chrono::hours(1);

base::Duration TimeFor(double tokens, double rate) {
  if (rate <= 0)
    return kLongestWait;
  const double seconds = tokens / rate;
  const double longest = std::chrono::duration<double>(kLongestWait).count();
  return std::chrono::ceil<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, longest)));
}

}  // namespace

AccountShare ShareOf(double rate, double burst, std::uint32_t daemons) {
  const double count = std::max<std::uint32_t>(daemons, 1);
  return {.rate = rate / count, .burst = std::max(burst / count, 1.0)};
}

std::optional<base::Duration> TakeToken(AccountLimits& limits,
                                        const base::AccountId& account,
                                        const AccountShare& share,
                                        base::TimePoint now) {
  if (share.rate <= 0)
    return kLongestWait;
  const AccountKey key{base::StableHash(account.value)};
  const auto found = limits.full_at.find(key);
  const bool listed = found != limits.full_at.end();
  const base::TimePoint full = listed ? std::max(found->second, now) : now;
  const base::TimePoint full_after = full + TimeFor(1, share.rate);
  const base::Duration longest = TimeFor(share.burst, share.rate);
  if (full_after - now > longest)
    return full_after - now - longest;
  if (listed)
    found->second = full_after;
  else
    limits.full_at.emplace(key, full_after);
  return std::nullopt;
}

void SweepAccounts(AccountLimits& limits, base::TimePoint now) {
  if (now - limits.swept_at < kSweepInterval)
    return;
  limits.swept_at = now;
  std::erase_if(limits.full_at,
                [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace poplarfork::load
