#include "fleet/freshness_func.h"

#include <algorithm>

#include "base/time_func.h"

namespace poplarfork::fleet {

namespace {

// Longest time for which a view may stay unconfirmed. Store readers confirm it
// about once per hello interval, up to a read interval late. Shorter bounds for
// changes leave about a second for the direct read.
constexpr base::Duration kMaxUnconfirmedTime = std::chrono::milliseconds(1500);

// Delay after the first failed direct read. It doubles with each further
// failure up to the maximum.
constexpr base::Duration kMinDirectReadDelay = std::chrono::milliseconds(2000);
constexpr std::uint32_t kMaxDelayDoublings = 2;

// Entries expire after three heartbeats of silence. The last one may have come
// a whole interval, and a quarter more for its jitter, before the outage began.
constexpr double kMinExpiryHeartbeats = 1.75;

}  // namespace

void ConfirmView(Freshness& freshness, base::TimePoint at) {
  if (at <= freshness.confirmed_at)
    return;
  freshness.confirmed_at = at;
  freshness.failed_direct_reads = 0;
  freshness.next_direct_read_at = {};
}

base::TimePoint DirectReadDueAt(const Freshness& freshness) {
  return std::max(freshness.confirmed_at + kMaxUnconfirmedTime,
                  freshness.next_direct_read_at);
}

bool IsDirectReadDue(const Freshness& freshness, base::TimePoint now) {
  return DirectReadDueAt(freshness) <= now;
}

void DelayDirectReads(Freshness& freshness, base::TimePoint now) {
  const std::uint32_t doublings =
      std::min(freshness.failed_direct_reads, kMaxDelayDoublings);
  ++freshness.failed_direct_reads;
  freshness.next_direct_read_at = now + kMinDirectReadDelay * (1 << doublings);
}

bool MayExpireEntries(base::Duration outage, base::Duration heartbeat) {
  return outage >= base::Scale(heartbeat, kMinExpiryHeartbeats);
}

}  // namespace poplarfork::fleet
