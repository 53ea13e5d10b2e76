#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::claim {

// Time for which a response is retained, maximum size of a retained response,
// and maximum total size of all retained responses.
inline constexpr base::Duration kResponseRetention = std::chrono::minutes(10);
inline constexpr std::size_t kMaxRetainedResponseBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxRetainedTotalBytes =
    std::size_t{8} * 1024 * 1024;

// Time for which the record of a minted key is kept. It is longer than
// `kMintedKeyLifetime`: for a key that was minted within this time, a missing
// record proves that the key was not used.
inline constexpr base::Duration kMintedRecordLifetime =
    std::chrono::minutes(20);

// Time for which the record of a caller-supplied key is kept. It equals the
// time for which claims are kept.
inline constexpr base::Duration kSuppliedRecordLifetime =
    std::chrono::hours(24);

// Maximum number of records, which take about 300 bytes each. Requests with
// further keys are refused.
inline constexpr std::size_t kMaxRecords = 100'000;

// Maximum number of claims of all shards that a daemon keeps in memory; each
// takes about 120 bytes.
inline constexpr std::size_t kMaxKnownClaims = 200'000;

// Maximum number of requests that wait for the same key.
inline constexpr std::size_t kMaxWaitersPerKey = 32;

// Maximum number of claims in one log entry, and the minimum time between two
// appends to a shard. With 64 shards, one append per 0.3 s and shard is about
// 210 store writes/s.
inline constexpr std::size_t kMaxBatchClaims = 512;
inline constexpr base::Duration kAppendInterval =
    std::chrono::milliseconds(300);

// Maximum number of claims that wait for one shard. Further claims are answered
// as unavailable.
inline constexpr std::size_t kMaxQueuedClaims = 4096;

// A daemon appends a claim itself when the collecting daemon has not answered
// within the first of these times, and abandons the claim after the second.
inline constexpr base::Duration kCollectorTimeout =
    std::chrono::milliseconds(1500);
inline constexpr base::Duration kClaimTimeout = std::chrono::seconds(5);

// Values of Retry-After for callers that may repeat soon, and for callers that
// should wait until the store may be reachable again.
inline constexpr base::Duration kShortRetryAfter = std::chrono::seconds(1);
inline constexpr base::Duration kLongRetryAfter = std::chrono::seconds(5);

}  // namespace poplarfork::claim
