#pragma once

#include <cstdint>
#include <vector>

#include "allowance/bucket_limit_type.h"
#include "allowance/token_bucket_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::allowance {

// The latest ask of one dispatcher for an account.
struct AnsweredAsk {
  base::DaemonId dispatcher;
  std::uint64_t sequence = 0;
  double granted = 0;
  // Less was granted than the dispatcher wanted.
  bool is_short = false;
  base::TimePoint answered_at{};
};

// Token bucket of an account at its owner. Its times are those of the group's
// credit clock.
struct OwnedBucket {
  TokenBucket bucket;
  // Limit for which `bucket` has been computed.
  BucketLimit limit;
  std::vector<AnsweredAsk> answered_asks;
  base::TimePoint last_asked_at{};
};

}  // namespace poplarfork::allowance
