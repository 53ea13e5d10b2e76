#include "dispatch/path_failure_func.h"

#include <algorithm>

namespace poplarfork::dispatch {

namespace {

// A daemon whose connection to an upstream failed is not granted that upstream
// for this long.
constexpr base::Duration kPathFailureTime = std::chrono::milliseconds(3000);

}  // namespace

void RecordPathFailure(UpstreamState& upstream,
                       const base::DaemonId& daemon,
                       base::TimePoint now) {
  std::erase_if(upstream.path_failures, [now](const auto& item) {
    return item.second.avoid_until <= now;
  });
  UpstreamState::PathFailure& path_failure = upstream.path_failures[daemon];
  if (path_failure.first_seen_at == base::TimePoint{})
    path_failure.first_seen_at = now;
  path_failure.avoid_until = now + kPathFailureTime;
}

std::size_t CountPathFailuresSinceResponse(const UpstreamState& upstream,
                                           base::TimePoint now) {
  return static_cast<std::size_t>(std::count_if(
      upstream.path_failures.begin(), upstream.path_failures.end(),
      [&upstream, now](const auto& item) {
        return item.second.avoid_until > now &&
               item.second.first_seen_at > upstream.last_response_at;
      }));
}

}  // namespace poplarfork::dispatch
