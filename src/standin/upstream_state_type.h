#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/rng_type.h"
#include "base/time_type.h"
#include "standin/request_info_type.h"
#include "standin/run_record_type.h"
#include "standin/upstream_fault_type.h"
#include "standin/upstream_options_type.h"

namespace poplarfork::standin {

// The load at a point in time.
struct LoadSample {
  base::TimePoint sampled_at;
  double load = 0.0;
};

// Numbers of events since the start.
struct UpstreamCounts {
  std::uint64_t requests = 0;
  std::uint64_t shed = 0;
  // Requests that got no response because of the fault "hang".
  std::uint64_t hung_requests = 0;
  std::uint64_t crashes = 0;
  // Requests that arrived while the upstream was draining.
  std::uint64_t requests_while_draining = 0;
  // Runs of requests without a key or request id, or beyond the maximum number
  // of keys.
  std::uint64_t unkeyed_runs = 0;
  std::uint64_t health_calls = 0;
  std::uint64_t load_calls = 0;
};

// The state of one upstream, apart from its connections.
struct UpstreamState {
  std::string name;
  UpstreamOptions options;
  base::Rng rng;
  base::TimePoint started_at;
  std::size_t in_flight = 0;
  std::optional<base::TimePoint> draining_since;
  std::vector<UpstreamFault> faults;
  std::deque<LoadSample> load_history;
  // Run records by Idempotency-Key, or by request id for requests without one.
  std::unordered_map<std::string, RunRecord> run_records;
  // The previous request whose run got a response, for the fault "crossed".
  std::optional<RequestInfo> previous_request;
  UpstreamCounts counts;
};

}  // namespace poplarfork::standin
