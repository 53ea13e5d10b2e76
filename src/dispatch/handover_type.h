#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "fleet/shard_type.h"

namespace poplarfork::dispatch {

// What a dispatcher knows about one upstream that its successor needs.
struct UpstreamDigest {
  base::UpstreamId id;
  base::Incarnation incarnation;
  // Probability that the upstream has a gray failure.
  double fault_probability = 0;
  bool suspended = false;
  // The upstream has said that it is leaving.
  bool leaving = false;
  std::uint32_t running_count = 0;
  double slowness = 1;
  // Time since which no request has been sent to the upstream.
  base::Duration uncovered_for{};
  // Requests per second to which the upstream limits all daemons, and requests
  // that may be sent now; empty if it states no limit.
  std::optional<double> rate_limit = std::nullopt;
  double rate_tokens = 0;
};

// Mean duration of one class of work.
struct DurationDigest {
  bool repeatable = false;
  std::uint32_t priority = 0;
  base::Duration mean_duration{};
};

// Summary of a shard's state. The dispatcher sends it to the daemon that would
// take over. On the wire this is FleetDigest.
struct ShardDigest {
  fleet::Shard shard;
  // Increases with each digest of one dispatcher.
  std::uint64_t sequence = 0;
  double retry_tokens = 0;
  double request_rate = 0;
  std::vector<UpstreamDigest> upstreams;
  std::vector<DurationDigest> durations;
};

// The last digest of a shard that has arrived, and from whom.
struct ReceivedDigest {
  base::DaemonId from;
  ShardDigest digest;
  base::TimePoint received_at{};
};

}  // namespace poplarfork::dispatch
