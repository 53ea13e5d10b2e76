#pragma once

#include <cstdint>
#include <optional>

#include "allowance/bucket_limit_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "load/account_limits_type.h"

namespace poplarfork::load {

// One daemon's share of an account's limit.
using AccountShare = allowance::BucketLimit;

// Divides an account's fleet-wide limit by the number of daemons in the
// service's group.
AccountShare DivideAccountLimit(double rate,
                                double burst,
                                std::uint32_t daemons);

// Takes a token from the bucket of `account`. Returns nothing if there was one.
// Otherwise takes none and returns the time until there is one.
std::optional<base::Duration> TakeToken(AccountLimits& limits,
                                        const base::AccountId& account,
                                        const AccountShare& share,
                                        base::TimePoint now);

// Removes the buckets that are full. Must be called at least once a minute; a
// call within 10 s of the last sweep does nothing.
void SweepFullBuckets(AccountLimits& limits, base::TimePoint now);

}  // namespace poplarfork::load
