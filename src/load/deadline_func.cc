#include "load/deadline_func.h"

#include <algorithm>

namespace poplarfork::load {

base::TimePoint RequestDeadline(base::TimePoint arrival,
                                base::Duration policy_timeout,
                                std::optional<base::Duration> stated_timeout) {
  return arrival +
         std::min(policy_timeout, stated_timeout.value_or(policy_timeout));
}

std::chrono::milliseconds RemainingTime(base::TimePoint deadline,
                                        base::TimePoint now) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
  return std::max(remaining, std::chrono::milliseconds(0));
}

}  // namespace poplarfork::load
