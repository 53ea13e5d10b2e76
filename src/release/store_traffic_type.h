#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "base/time_type.h"
#include "release/store_call_type.h"

namespace poplarfork::release {

// The purpose of a call to the store. Calls for publications are queued before
// all others.
enum class StorePurpose {
  kPublishRead,
  kPublishCreate,
  kListSnapshots,
  kReadChunk,
  kReadEntries,
  kPull,
  kWatch,
  kWriteChunk,
  kCompactLog,
  kCompactSnapshots,
};

// A call that is queued for a token or waits for its reply.
struct PendingCall {
  StorePurpose purpose = StorePurpose::kWatch;
  StoreCall call;
  // From this time on the call counts as one without a reply.
  base::TimePoint deadline;
};

// The daemon's pending calls to the store and the token bucket that limits the
// rate of sending them.
struct StoreTraffic {
  double tokens = 0;
  base::TimePoint refilled;
  std::uint64_t next_call = 1;
  std::deque<PendingCall> waiting;
  std::map<StoreCallId, PendingCall> outstanding;
  // Number of calls sent since the start, for metrics.
  std::uint64_t sent = 0;
};

}  // namespace poplarfork::release
