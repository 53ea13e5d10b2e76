#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "health/crash_table_type.h"
#include "health/detection_parameters_type.h"
#include "health/detector_type.h"
#include "health/event_type.h"
#include "health/in_flight_type.h"
#include "health/ledger_type.h"
#include "health/pooled_state_type.h"
#include "health/rate_counts_type.h"
#include "health/upstream_state_type.h"
#include "note/policy_type.h"

namespace poplarfork::health {

// Typical latency of a service's upstreams, as natural logarithms of
// microseconds.
struct LatencyReference {
  bool known = false;
  // Medians of the mean log latencies of the upstreams: `lower_median` without
  // one upstream of the upper half, `upper_median` without one of the lower
  // half. An upstream of the upper half is compared with `lower_median`, any
  // other with `upper_median`, so that its own latency is left out.
  double lower_median = 0;
  double upper_median = 0;
  // Mean squared deviation of the latencies of single requests from the typical
  // latency.
  double variance = 0;
  base::TimePoint last_refresh{};
};

// State of an upstream that requests change, as it was at the last tick. It is
// restored if the event loop turns out to have stalled.
struct SavedEvidence {
  std::uint32_t upstream_index = 0;
  DetectorState detector_state;
  Phase phase = Phase::kInService;
  base::TimePoint phase_since{};
  base::TimePoint hold_down_until{};
  std::uint32_t hold_down_level = 0;
  std::uint32_t trial_successes = 0;
  std::uint32_t trial_faults = 0;
  double suspicion = 0;
  std::uint32_t unreported_failures = 0;
  std::uint32_t unreported_slow = 0;
};

// The ledger as this daemon last confirmed it.
struct LedgerState {
  Ledger ledger;
  bool known = false;
  base::TimePoint last_confirmed{};
};

// Everything that one daemon knows about the health of one service.
struct ServiceHealth {
  base::ServiceId service;
  GroupMember self;
  std::vector<GroupMember> members;
  note::ServicePolicy policy;
  DetectionParameters parameters;
  Detector detector{};

  // The upstreams, ordered by id.
  std::vector<UpstreamState> upstreams;
  std::unordered_map<base::UpstreamId, std::uint32_t> index_by_id;
  std::map<std::uint64_t, InFlightRequest> in_flight;
  // Incremented whenever the result of `BuildRoutingView` changes, except
  // through the passing of time during ramps.
  std::uint64_t view_version = 1;

  base::TimePoint built_at{};
  // Request counts, by the data centre of the upstream.
  std::vector<DataCentreCounts> data_centre_counts;
  LatencyReference latency_reference;
  std::vector<SavedEvidence> saved_evidence;
  // Positions of the upstreams that are out of full service or whose hold-down
  // is still raised. Each tick checks them.
  std::vector<std::uint32_t> recovering;

  CrashTable crash_table;
  std::vector<ConnectionLoss> unreported_losses;
  // True between the actions `kShedLoad` and `kEndShedLoad`.
  bool shedding = false;
  base::TimePoint shedding_until{};
  base::TimePoint last_probe_round{};
  base::TimePoint last_load_check{};
  base::TimePoint baseline_interval_start{};
  // Evidence and ledger messages that arrive before this time are ignored.
  base::TimePoint ignore_until{};

  LedgerState ledger;
  CoordinatorState coordinator;
};

}  // namespace poplarfork::health
