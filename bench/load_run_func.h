#pragma once

#include <cstdint>
#include <vector>

#include "base/result_type.h"
#include "base/time_type.h"
#include "bench/load_options_type.h"
#include "bench/target_result_type.h"

namespace poplarfork::bench {

// Returns the time at which the request with index `request_index` of an open
// loop is to be sent. It does not depend on when earlier responses arrived, so
// that a slow target does not lower the load (coordinated omission).
base::TimePoint IntendedSendTime(base::TimePoint start,
                                 double requests_per_second,
                                 std::uint64_t request_index);

// Runs the load and returns when it has ended: after the duration or the
// `max_requests` of the options, or one request timeout later if a target
// hangs. Fails with kMalformed for an address that is not IP:PORT, and with
// kOutOfRange for a target outside the loopback range or for a load above the
// limits.
base::Result<std::vector<TargetResult>> RunLoad(const LoadOptions& options);

}  // namespace poplarfork::bench
