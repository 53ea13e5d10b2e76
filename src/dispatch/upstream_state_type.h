#pragma once

#include <cstdint>
#include <map>
#include <optional>
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
  base::Incarnation incarnation;
  fleet::Shard shard;
  WorkClass work_class;
  // The request is lost if this attempt fails, see MustSucceed().
  bool must_succeed = true;
  // The upstream was chosen because it was due for coverage.
  bool for_coverage = false;
  RequestFingerprints fingerprints;
  // Client account of whose rate limit the request has taken a token; empty if
  // it has taken none.
  base::AccountId charged_account;
  // The grant has been sent more than once.
  bool is_grant_repeated = false;
  base::TimePoint granted_at{};
  // From this time on, a repeatable request is retried at another upstream.
  base::TimePoint retry_at{};
  // Age from which on a hedge may be requested; zero if none may.
  base::Duration hedge_after{};
  // From this time on, the attempt counts as stalled.
  base::TimePoint stalls_at{};
  // The attempt is removed after this time in case its report was lost.
  base::TimePoint expires_at{};
  // The daemon has reported that it still waits for the response.
  bool is_still_running = false;
  // The attempt has been counted as stalled.
  bool stall_counted = false;
};

// What the running attempts at an upstream show by taking long.
struct OpenAttempt {
  base::TimePoint granted_at{};
  // Mean duration of the attempt's class of work; 0 if it is unknown, or if the
  // attempt has been counted as stalled and shows nothing more.
  base::Duration expected_duration{};
};

// Share of the time for which an upstream is assumed to be faulty while nothing
// is known about it.
inline constexpr double kLongTermFaultProbability = 0.3;

// Probability that an upstream was faulty at `as_of`, see
// fault_estimate_func.h.
struct FaultEstimate {
  double probability = kLongTermFaultProbability;
  base::TimePoint as_of{};
};

// Token bucket that holds requests to an upstream to the limit that it states.
struct RateLimit {
  double per_second = 0;
  // Requests that may be sent now. Below zero after requests that could not be
  // held back.
  double tokens = 0;
  base::TimePoint refilled_at{};
  base::TimePoint stated_at{};
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
  // Time of the last response of any kind.
  base::TimePoint last_response_at{};
  // The same without short responses, see duration_stats_func.h.
  base::TimePoint last_work_response_at{};
  std::vector<OpenAttempt> open_attempts;
  FaultEstimate fault_estimate;

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
  std::uint32_t failed_probes = 0;
  bool probing = false;

  // Daemons whose connections to the upstream failed recently: when the first
  // failure was seen, and until when the daemon is not granted this upstream.
  struct PathFailure {
    base::TimePoint first_seen_at{};
    base::TimePoint avoid_until{};
  };
  std::map<base::DaemonId, PathFailure> path_failures;

  // Empty unless the upstream states a limit, see rate_limit_func.h.
  std::optional<RateLimit> rate_limit;

  // Until when the upstream wants no requests of a daemon, see pause_func.h.
  std::map<base::DaemonId, base::TimePoint> paused_daemons;
};

}  // namespace poplarfork::dispatch
