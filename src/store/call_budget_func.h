#pragma once

#include "base/time_type.h"

namespace poplarfork::store {

// A token bucket that limits the rate of store calls. `tokens` is the number of
// tokens at time `refilled_at`; `burst` is the capacity.
struct CallBudget {
  double tokens_per_second = 0.0;
  double burst = 0.0;
  double tokens = 0.0;
  base::TimePoint refilled_at;
};

// Returns a full token bucket.
CallBudget MakeCallBudget(double tokens_per_second,
                          double burst,
                          base::TimePoint now);

// Refills the bucket for the time that has passed and takes one token. Returns
// false if there is none.
bool TryTakeCallToken(CallBudget& budget, base::TimePoint now);

}  // namespace poplarfork::store
