#pragma once

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "allowance/balances_type.h"
#include "base/time_type.h"
#include "dispatch/account_load_type.h"
#include "dispatch/crash_record_type.h"
#include "dispatch/duration_histogram_type.h"
#include "dispatch/handover_type.h"
#include "dispatch/message_type.h"
#include "dispatch/settings_type.h"
#include "dispatch/upstream_state_type.h"
#include "fleet/shard_type.h"

namespace poplarfork::dispatch {

// Identifies an attempt within the whole fleet.
struct AttemptKey {
  base::DaemonId daemon;
  AttemptId attempt_id;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

// A request that waits in the queue for a free slot.
struct QueuedRequest {
  base::DaemonId daemon;
  SlotRequest slot_request;
  base::TimePoint queued_at{};
  base::TimePoint late_at{};
  base::TimePoint deadline{};
  // Account whose token the request has taken; empty if it has taken none.
  base::AccountId charged_account = {};
};

// Durations of one class of work, computed from the responses of all upstreams.
struct DurationStats {
  double mean_us = 0;
  std::uint32_t samples = 0;
  DurationHistogram histogram = {};
  // Decaying sums of the durations and of their squares, and the smoothed share
  // of short responses, see duration_stats_func.h.
  double sum_us = 0;
  double square_sum_us2 = 0;
  double short_share = 0;
};

// Token bucket that limits the retries of one service or shard to its part of
// the fleet-wide limit.
struct RetryBudget {
  double tokens = 0;
  // Smoothed number of requests per second.
  double request_rate = 0;
  base::TimePoint refilled_at{};
  bool initialized = false;
};

// Hedges that one service or shard may send. Each first attempt that is granted
// adds the share that the deployment allows.
struct HedgeBudget {
  double tokens = 0;
  bool initialized = false;
};

// An upstream that has said in a response that it is leaving.
struct LeavingMark {
  // Zero until it is known.
  base::Incarnation incarnation;
  base::TimePoint learned_at{};
};

// When a daemon last received a response from each upstream, and when an
// attempt of the daemon last failed at each upstream.
struct DaemonState {
  std::map<base::UpstreamId, base::TimePoint> last_response_at;
  std::map<base::UpstreamId, base::TimePoint> last_failure_at;
};

// Recent requests of one service or shard, and those of them that were probably
// not served. The counts decay over time.
struct LossStats {
  double placed = 0;
  double unserved = 0;
  base::TimePoint decayed_at{};
  // Last attempts that may be used for coverage while few requests fail.
  double coverage_credit = 0;
  // Until then, many requests are assumed to fail because nothing is known.
  base::TimePoint unknown_until{};
};

// State of one service, or of one shard of a service, at its dispatcher.
struct ShardState {
  std::map<base::UpstreamId, UpstreamState> upstreams;
  // Ordered by due time and priority, see Enqueue().
  std::deque<QueuedRequest> queue;
  std::map<WorkClass, DurationStats> duration_stats;
  RetryBudget retry_budget;
  HedgeBudget hedge_budget;
  LossStats loss_stats;
  // Grants of the accounts that have been served lately, see
  // account_load_func.h.
  std::unordered_map<base::AccountId, AccountLoad> account_loads;
  base::TimePoint account_loads_swept_at{};
  // Time of the last slot request for this shard.
  base::TimePoint last_slot_request_at{};
  // Share of the service's limits that applies to the upstreams of this shard.
  double limit_share = 1;
};

// Until when each upstream wants no requests of this daemon.
using UpstreamPauses = std::map<base::UpstreamId, base::TimePoint>;

// Assigns the requests for services to upstreams. Each service or shard has one
// dispatching daemon in the fleet at a time. If two daemons dispatch for the
// same shard for a while, the load that upstreams report keeps them from
// filling the same upstream twice.
struct Dispatcher {
  Settings settings;
  // All known upstreams. The state of a shard is built from them at its first
  // slot request.
  std::map<base::UpstreamId, fleet::UpstreamEntry> upstreams;
  std::map<fleet::Shard, ShardState> shards;
  std::map<AttemptKey, RunningAttempt> running_attempts;
  std::unordered_map<Fingerprint, CrashRecord> crashes;
  std::map<base::UpstreamId, CrashSuspicion> crash_suspicions;
  base::TimePoint crashes_expired_at{};
  // Fingerprints whose records have changed since other daemons were told.
  std::set<Fingerprint> unshared_crashes;
  std::map<base::UpstreamId, LeavingMark> leaving;
  std::map<base::DaemonId, DaemonState> daemons;
  // Digests of shards for which this daemon is the next in rank.
  std::map<fleet::Shard, ReceivedDigest> digests;
  std::uint64_t digest_sequence = 0;
  // Tokens of the rate limits of client accounts.
  allowance::Balances balances;
  // The daemon has received a list of upstreams.
  bool ready = false;
};

}  // namespace poplarfork::dispatch
