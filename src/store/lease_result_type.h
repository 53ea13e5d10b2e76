#pragma once

#include <functional>

#include "base/result_type.h"
#include "base/time_type.h"
#include "store/key_value_type.h"

namespace poplarfork::store {

// A lease and its time to live, counted from the reply. A `time_to_live` of 0
// means that the lease no longer exists.
struct LeaseResult {
  LeaseId lease;
  base::Duration time_to_live{};
};

using LeaseCallback = std::function<void(base::Result<LeaseResult>)>;

}  // namespace poplarfork::store
