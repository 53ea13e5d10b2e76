#pragma once

#include <optional>

#include "base/time_type.h"

namespace poplarfork::load {

// Returns the deadline of a request: the earlier of the service's deadline and
// the end of the time that the caller (or the relaying daemon) states is left.
base::TimePoint RequestDeadline(base::TimePoint arrival,
                                base::Duration policy_timeout,
                                std::optional<base::Duration> stated_timeout);

// Returns the time left for the header Poplarfork-Deadline-Ms, rounded down;
// 0 when the deadline has passed.
std::chrono::milliseconds RemainingTime(base::TimePoint deadline,
                                        base::TimePoint now);

}  // namespace poplarfork::load
