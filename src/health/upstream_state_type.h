#pragma once

#include <cstdint>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "health/detector_state_type.h"
#include "health/rate_counts_type.h"

namespace poplarfork::health {

// Phase of an upstream between leaving service and being fully in service
// again.
enum class Phase {
  kInService,
  // The upstream gets no new requests until the hold-down is over.
  kAvoided,
  // The upstream takes one request at a time.
  kTrial,
  // The weight of the upstream rises to its full share.
  kRamp,
};

// A fleet-wide ejection as this daemon applies it.
struct AppliedEjection {
  bool active = false;
  std::uint64_t sequence = 0;
  // Time at which this daemon first saw the entry.
  base::TimePoint first_seen{};
  base::Duration hold_down{};
};

// Everything that a daemon knows about one upstream.
struct UpstreamState {
  base::UpstreamId id;
  base::DataCentreId data_centre;
  // Position of the upstream's data centre in
  // `ServiceHealth::data_centre_counts`.
  std::uint32_t data_centre_counts_index = 0;
  std::uint32_t slots = 1;
  bool draining = false;

  Phase phase = Phase::kInService;
  base::TimePoint phase_since{};
  base::TimePoint hold_down_until{};
  // Number of times that the next hold-down is doubled.
  std::uint32_t hold_down_level = 0;
  // Time since which the upstream has served well. It decides when the next
  // hold-down is halved.
  base::TimePoint good_since{};
  std::uint32_t trial_successes = 0;
  // Sum of the faults in the current trial: a slow response counts 1, a failure
  // 2.
  std::uint32_t trial_faults = 0;
  // Value of the test statistic when the upstream was last avoided or ejected.
  double suspicion = 0;
  // True if the floor kept the upstream in service at the last check. It
  // prevents repeated log lines.
  bool kept_for_floor = false;

  DetectorState detector_state;
  RateCounts short_term_counts;
  RateCounts long_term_counts;
  // Exponentially weighted mean of the natural logarithm of the latency in
  // microseconds.
  double mean_log_latency = 0;
  std::uint32_t latency_samples = 0;
  base::TimePoint last_request{};
  // Times of the last bad response or slow request and of the last request
  // without a response. The zero time means that there was none.
  base::TimePoint last_bad_response{};
  base::TimePoint last_transport_failure{};

  AppliedEjection ejection;

  // True if a request on a reused connection got no response and no probe on a
  // new connection has ended since.
  bool connection_suspect = false;
  base::TimePoint connections_closed_at{};
  // True if this daemon is one of those that probe the upstream.
  bool probed_by_self = false;
  base::TimePoint last_probe{};
  base::TimePoint last_failed_probe{};

  // Counts of bad requests that have not been reported to the coordinator yet.
  std::uint32_t unreported_failures = 0;
  std::uint32_t unreported_slow = 0;
  base::TimePoint last_avoid_report{};
  // True if the evidence has been saved since the last tick.
  bool evidence_saved = false;
};

}  // namespace poplarfork::health
