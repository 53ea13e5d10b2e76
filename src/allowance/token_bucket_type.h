#pragma once

#include "base/time_type.h"

namespace poplarfork::allowance {

// Token bucket in the form of the generic cell rate algorithm. A bucket whose
// time has passed is full.
struct TokenBucket {
  // When the bucket will be full again.
  base::TimePoint full_at{};
};

}  // namespace poplarfork::allowance
