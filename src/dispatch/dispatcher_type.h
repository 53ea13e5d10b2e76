#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "dispatch/settings_type.h"
#include "dispatch/upstream_state_type.h"
#include "fleet/shard_type.h"

namespace poplarfork::dispatch {

// Identifies an attempt over the whole fleet.
struct AttemptKey {
  base::DaemonId daemon;
  AttemptId attempt;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

// A request that waits for an upstream.
struct Waiter {
  base::DaemonId daemon;
  Ask ask;
  base::TimePoint since{};
  base::TimePoint late_at{};
  base::TimePoint deadline{};
};

// Usual duration of one class of work, from the answers of all upstreams.
struct WorkPace {
  double mean_us = 0;
  std::uint32_t samples = 0;
};

// Repeated sends of one service within the fleet-wide budget.
struct RetryAllowance {
  double tokens = 0;
  // Requests a second, smoothed.
  double request_rate = 0;
  base::TimePoint at{};
  bool started = false;
};

// Crashes that requests with one fingerprint caused.
struct CrashRecord {
  std::uint32_t crashes = 0;
  base::TimePoint last{};
};

// Which upstreams a daemon got answers from lately, and which gave it trouble.
struct DaemonState {
  std::map<base::UpstreamId, base::TimePoint> answered;
  std::map<base::UpstreamId, base::TimePoint> troubled;
};

// The dispatcher's knowledge of one service, or of a shard of it.
struct ServiceState {
  std::map<base::UpstreamId, UpstreamState> upstreams;
  // In the order in which they are served.
  std::deque<Waiter> waiting;
  std::map<WorkClass, WorkPace> paces;
  RetryAllowance retries;
  // When this daemon was last asked for an upstream of the service.
  base::TimePoint asked_at{};
  // Part of the service's limits that holds for these upstreams.
  double share = 1;
};

// Gives the work of services to their upstreams. One daemon of the fleet
// dispatches for a service at a time; should two do so for a while, the load
// that upstreams state keeps them from filling an upstream twice.
struct Dispatcher {
  Settings settings;
  // All upstreams that are known, for shards that it is asked for later.
  std::map<base::UpstreamId, fleet::UpstreamEntry> upstreams;
  std::map<fleet::Shard, ServiceState> shards;
  std::map<AttemptKey, Running> running;
  std::unordered_map<Fingerprint, CrashRecord> crashes;
  std::map<base::DaemonId, DaemonState> daemons;
  // A list of upstreams has arrived.
  bool ready = false;
};

}  // namespace poplarfork::dispatch
