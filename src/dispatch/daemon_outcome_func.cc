#include "dispatch/daemon_outcome_func.h"

#include <cstddef>

namespace poplarfork::dispatch {

namespace {

// Responses and failures that a daemon has seen are forgotten after this time.
constexpr base::Duration kDaemonOutcomeLifetime =
    std::chrono::milliseconds(4000);

// When a daemon sees failures at this many upstreams at the same time, and at
// more upstreams than have responded, the fault is assumed to be in the daemon
// or its network, and its reports get the reduced weight.
constexpr std::size_t kMinFailingUpstreams = 3;
constexpr double kFaultyDaemonWeight = 0.1;

}  // namespace

bool IsResponse(Outcome outcome) {
  return outcome == Outcome::kServed || outcome == Outcome::kFailed ||
         outcome == Outcome::kShed || outcome == Outcome::kMisdirected;
}

double RecordDaemonOutcome(Dispatcher& dispatcher,
                           const base::DaemonId& daemon,
                           const base::UpstreamId& upstream,
                           Outcome outcome,
                           base::TimePoint now) {
  DaemonState& daemon_state = dispatcher.daemons[daemon];
  const auto is_expired = [now](const auto& item) {
    return now - item.second > kDaemonOutcomeLifetime;
  };
  std::erase_if(daemon_state.last_response_at, is_expired);
  std::erase_if(daemon_state.last_failure_at, is_expired);
  if (IsResponse(outcome)) {
    daemon_state.last_response_at[upstream] = now;
    daemon_state.last_failure_at.erase(upstream);
    return 1;
  }
  if (outcome == Outcome::kUnused || outcome == Outcome::kCancelled)
    return 1;
  daemon_state.last_failure_at[upstream] = now;
  const bool is_daemon_fault =
      daemon_state.last_failure_at.size() >= kMinFailingUpstreams &&
      daemon_state.last_failure_at.size() >
          daemon_state.last_response_at.size();
  return is_daemon_fault ? kFaultyDaemonWeight : 1;
}

}  // namespace poplarfork::dispatch
