#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "allowance/owned_bucket_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::allowance {

// Accounts are divided into this many groups. The accounts of one group have
// the same owner.
inline constexpr std::uint32_t kAccountGroups = 64;

// Accounts of one group that have been asked for lately.
struct OwnedGroup {
  // Time of the credit clock, from which the buckets are refilled. It advances
  // by `refill_share` of the time that passes.
  base::TimePoint credit_at{};
  base::TimePoint advanced_at{};
  double refill_share = 1;
  // This daemon sees no other owner of the group.
  bool is_first = true;
  std::unordered_map<base::AccountId, OwnedBucket> buckets;
};

// Buckets of the accounts that this daemon owns, by group.
struct Owner {
  std::map<std::uint32_t, OwnedGroup> groups;
};

}  // namespace poplarfork::allowance
