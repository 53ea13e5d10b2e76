#pragma once

#include "base/time_type.h"

namespace poplarfork::dispatch {

// Slots of one service or shard that a client account was granted. The counts
// decay over time, one slowly, so that it shows what is usual for the account,
// and one quickly. Grants are counted rather than requests, so that a surge
// that is held back does not become usual.
struct AccountLoad {
  double usual_grants = 0;
  double recent_grants = 0;
  base::TimePoint decayed_at{};
  base::TimePoint first_grant_at{};
  base::TimePoint last_grant_at{};
};

}  // namespace poplarfork::dispatch
