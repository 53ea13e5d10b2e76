#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::address {

inline constexpr std::size_t kMaxAddresses = 8;

// Number of addresses in an answer that are reserved for data centres other
// than the caller's, so that a caller can use another data centre when its own
// is lost.
inline constexpr std::size_t kReservedRemoteAddresses = 2;

// Time for which a caller may use an answer.
inline constexpr base::Duration kAnswerLifetime = std::chrono::seconds(30);

// Time for the leaving notice to reach all daemons. A shutdown waits this long
// in addition to the lifetime of the answers that the daemons gave before.
inline constexpr base::Duration kLeavingNoticeMargin = std::chrono::seconds(5);

// Default of the maximum time for which a shutdown waits for requests in
// flight.
inline constexpr base::Duration kDefaultDrainLimit = std::chrono::minutes(10);

// Load in percent at or above which a daemon counts as highly loaded.
inline constexpr std::uint8_t kHighLoadPercent = 80;

}  // namespace poplarfork::address
