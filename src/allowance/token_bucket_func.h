#pragma once

#include "allowance/bucket_limit_type.h"
#include "allowance/token_bucket_type.h"
#include "base/time_type.h"

namespace poplarfork::allowance {

// Longest wait that is computed; also the wait for a bucket whose rate is 0.
inline constexpr base::Duration kMaxTokenWait = std::chrono::hours(1);

// Returns the time in which `tokens` are added at `rate` per second.
base::Duration RefillTime(double tokens, double rate);

// Returns the number of tokens in the bucket.
double AvailableTokens(const TokenBucket& bucket,
                       const BucketLimit& limit,
                       base::TimePoint now);

// Returns the time until the bucket holds `tokens`; zero if it does.
base::Duration TimeUntilTokens(const TokenBucket& bucket,
                               const BucketLimit& limit,
                               double tokens,
                               base::TimePoint now);

// Takes tokens out of the bucket, which must hold them.
void TakeTokens(TokenBucket& bucket,
                const BucketLimit& limit,
                double tokens,
                base::TimePoint now);

// Sets the number of tokens in the bucket, which is limited to the burst.
void SetTokens(TokenBucket& bucket,
               const BucketLimit& limit,
               double tokens,
               base::TimePoint now);

}  // namespace poplarfork::allowance
