#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "base/time_type.h"
#include "release/store_call_type.h"

namespace poplarfork::release {

// The purpose of a call to the store. Calls for publications are queued before
// all others.
enum class StoreCallPurpose {
  kPublishRead,
  kPublishCreate,
  kListSnapshots,
  kReadSnapshotChunk,
  kReadEntries,
  kPull,
  kWatch,
  kWriteSnapshotChunk,
  kCompactLog,
  kCompactSnapshots,
};

// A call that is queued for a token or waits for its reply.
struct PendingCall {
  StoreCallPurpose purpose = StoreCallPurpose::kWatch;
  StoreCall call;
  // From this time on the call counts as one without a reply.
  base::TimePoint deadline;
};

// The daemon's pending calls to the store and the token bucket that limits the
// rate of sending them.
struct StoreCallQueue {
  double tokens = 0;
  base::TimePoint refilled_at;
  std::uint64_t next_call_id = 1;
  std::deque<PendingCall> queued;
  std::map<StoreCallId, PendingCall> outstanding;
  // Number of calls sent since the start, for metrics.
  std::uint64_t sent_count = 0;
};

}  // namespace poplarfork::release
