#include "allowance/token_bucket_func.h"

#include <algorithm>
#include <cmath>

namespace poplarfork::allowance {

base::Duration RefillTime(double tokens, double rate) {
  if (rate <= 0)
    return kMaxTokenWait;
  const double seconds = tokens / rate;
  const double max_seconds =
      std::chrono::duration<double>(kMaxTokenWait).count();
  return std::chrono::ceil<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

double AvailableTokens(const TokenBucket& bucket,
                       const BucketLimit& limit,
                       base::TimePoint now) {
  const base::Duration until_full =
      std::max(bucket.full_at - now, base::Duration(0));
  const double missing =
      limit.rate * std::chrono::duration<double>(until_full).count();
  return std::clamp(limit.burst - missing, 0.0, limit.burst);
}

base::Duration TimeUntilTokens(const TokenBucket& bucket,
                               const BucketLimit& limit,
                               double tokens,
                               base::TimePoint now) {
  const base::TimePoint full_after_request =
      std::max(bucket.full_at, now) + RefillTime(tokens, limit.rate);
  const base::Duration burst_tolerance = RefillTime(limit.burst, limit.rate);
  return std::max(full_after_request - now - burst_tolerance,
                  base::Duration(0));
}

void TakeTokens(TokenBucket& bucket,
                const BucketLimit& limit,
                double tokens,
                base::TimePoint now) {
  bucket.full_at =
      std::max(bucket.full_at, now) + RefillTime(tokens, limit.rate);
}

void SetTokens(TokenBucket& bucket,
               const BucketLimit& limit,
               double tokens,
               base::TimePoint now) {
  bucket.full_at =
      now + RefillTime(std::max(limit.burst - tokens, 0.0), limit.rate);
}

}  // namespace poplarfork::allowance
