#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "fleet/shard_type.h"
#include "fleet/upstream_entry_type.h"

namespace poplarfork::dispatch {

// A granted attempt whose outcome has not been reported yet.
struct RunningAttempt {
  base::DaemonId daemon;
  AttemptId attempt_id;
  base::UpstreamId upstream;
  fleet::Shard shard;
  WorkClass work_class;
  Fingerprint fingerprint;
  base::TimePoint granted_at{};
  // From this time on, a repeatable request is retried at another upstream.
  base::TimePoint retry_at{};
  // From this time on, the attempt counts as stalled.
  base::TimePoint stalls_at{};
  // The attempt is removed after this time in case its report was lost.
  base::TimePoint expires_at{};
  // The attempt has been counted as stalled.
  bool stall_counted = false;
};

enum class HealthStatus {
  // The upstream receives requests. Logs and metrics call this status
  // "trusted".
  kHealthy,
  // The upstream receives no requests because recent outcomes show a fault.
  kSuspended,
  // The upstream receives few requests at a time, to find out whether it has
  // recovered. It begins with one.
  kTrial,
};

// What the dispatcher knows about one upstream.
struct UpstreamState {
  fleet::UpstreamEntry entry;
  std::uint32_t running_count = 0;
  std::uint32_t stalled_count = 0;
  // Requests that other dispatchers have sent to the upstream, computed from
  // the load that it last reported.
  std::uint32_t foreign_requests = 0;
  base::TimePoint load_reported_at{};

  // Recent outcomes. The counts decay by half every kOutcomeHalfLife.
  double served = 0;
  double failed = 0;
  double shed = 0;
  base::TimePoint decayed_at{};
  // The upstream's durations relative to the mean durations of the same classes
  // of work.
  double slowness = 1;
  // Time of the last response of any kind, and number of requests granted since
  // then.
  base::TimePoint last_response_at{};
  std::uint32_t granted_since_response = 0;
  // Times at which the running attempts were granted.
  std::vector<base::TimePoint> grant_times;

  // When a request was last sent to the upstream, and the time before; coverage
  // attempts pause until `cover_not_before`. See coverage_func.h.
  base::TimePoint covered_at{};
  base::TimePoint previously_covered_at{};
  base::TimePoint cover_not_before{};

  HealthStatus health_status = HealthStatus::kHealthy;
  base::TimePoint suspended_at{};
  base::TimePoint suspended_until{};
  base::Duration next_suspension{};
  base::TimePoint trial_started_at{};
  std::uint32_t trial_successes = 0;
  base::TimePoint reinstated_at{};
  std::uint32_t failed_probes = 0;
  bool probing = false;

  // Requests whose connections to the upstream broke recently. If the upstream
  // becomes unreachable right afterwards, they may have crashed it.
  struct BrokenConnection {
    Fingerprint fingerprint;
    base::TimePoint broke_at{};
  };
  std::vector<BrokenConnection> broken_connections;

  // Daemons whose connections to the upstream failed recently: when the first
  // failure was seen, and until when the daemon is not granted this upstream.
  struct PathFailure {
    base::TimePoint first_seen_at{};
    base::TimePoint avoid_until{};
  };
  std::map<base::DaemonId, PathFailure> path_failures;
};

}  // namespace poplarfork::dispatch
