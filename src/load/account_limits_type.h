#pragma once

#include <unordered_map>

#include "allowance/token_bucket_type.h"
#include "base/strong_id_type.h"
#include "base/time_type.h"

namespace poplarfork::load {

// Stable hash of an account's name. The probability that two of 510,000
// accounts have the same hash is below 1e-8; such accounts would share a limit.
using AccountHash = base::NumberId<struct AccountHashTag>;

// Token buckets of all accounts with recent requests. An account that is not
// listed has a full bucket.
struct AccountLimits {
  std::unordered_map<AccountHash, allowance::TokenBucket> buckets;
  base::TimePoint last_sweep_at = {};
};

}  // namespace poplarfork::load
