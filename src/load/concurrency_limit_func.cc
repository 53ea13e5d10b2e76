#include "load/concurrency_limit_func.h"

#include <algorithm>

namespace poplarfork::load {

namespace {

// Length of a window. The shortest latency is remembered for one to two
// windows.
constexpr base::Duration kLatencyWindow = std::chrono::seconds(30);
constexpr base::Duration kDecreaseInterval = std::chrono::milliseconds(500);
constexpr double kDecreaseFactor = 0.8;

// A latency above this multiple of the shortest one means that requests queue
// at the upstream.
constexpr int kSlowFactor = 3;

// A latency up to this time never counts as slow: at latencies around 1 ms,
// smaller differences are scheduling noise.
constexpr base::Duration kMinSlowLatency = std::chrono::milliseconds(5);

// The limit grows only while at least this share of it is in use. Below it, a
// success does not show that the upstream could handle more requests.
constexpr double kMinUsedShare = 0.8;

void RecordLatency(ConcurrencyLimit& limit,
                   base::Duration latency,
                   base::TimePoint now) {
  if (now - limit.window_start >= kLatencyWindow) {
    limit.previous_min = limit.window_min;
    limit.window_min = base::Duration::max();
    limit.window_start = now;
  }
  limit.window_min = std::min(limit.window_min, latency);
}

bool IsSlow(const ConcurrencyLimit& limit, base::Duration latency) {
  const base::Duration shortest =
      std::min(limit.window_min, limit.previous_min);
  return latency > kMinSlowLatency && latency / kSlowFactor > shortest;
}

void DecreaseLimit(ConcurrencyLimit& limit, base::TimePoint now) {
  if (now - limit.decreased_at < kDecreaseInterval)
    return;
  limit.limit = std::max(limit.limit * kDecreaseFactor, 1.0);
  limit.decreased_at = now;
}

}  // namespace

ConcurrencyLimit NewConcurrencyLimit(std::uint32_t max, base::TimePoint now) {
  return {.limit = static_cast<double>(max),
          .max = static_cast<double>(max),
          .window_start = now,
          .decreased_at = now - kDecreaseInterval};
}

void SetConcurrencyMax(ConcurrencyLimit& limit, std::uint32_t max) {
  limit.max = std::max<std::uint32_t>(max, 1);
  limit.limit = std::min(limit.limit, limit.max);
}

void OnLatency(ConcurrencyLimit& limit,
               base::Duration latency,
               std::uint32_t in_flight,
               bool overloaded,
               base::TimePoint now) {
  if (!overloaded)
    RecordLatency(limit, latency, now);
  if (overloaded || IsSlow(limit, latency)) {
    DecreaseLimit(limit, now);
    return;
  }
  if (in_flight >= kMinUsedShare * CurrentLimit(limit))
    limit.limit = std::min(limit.limit + 1 / limit.limit, limit.max);
}

std::uint32_t CurrentLimit(const ConcurrencyLimit& limit) {
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(limit.limit), 1);
}

}  // namespace poplarfork::load
