#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "load/account_limits_type.h"
#include "load/retry_budget_type.h"

namespace poplarfork::load {

// The load of one service at this daemon.
struct ServiceLoad {
  std::uint32_t in_flight = 0;
  RetryBudget retry_budget;
};

// The load of one daemon. The driver sets `max_in_flight` from the settings and
// `loop_delay` from its measurements.
struct LoadState {
  std::uint32_t in_flight = 0;
  std::uint32_t max_in_flight = 4000;
  // Delay of the daemon's event loop, smoothed by the driver over about 1 s.
  base::Duration loop_delay = base::Duration(0);
  AccountLimits accounts;
  std::unordered_map<base::ServiceId, ServiceLoad> services;
};

}  // namespace poplarfork::load
