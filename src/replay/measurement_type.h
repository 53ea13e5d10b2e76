#pragma once

#include <cstdint>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::replay {

// The sums of what one or more simulation runs of a detector showed.
struct Measurement {
  // For each pair of daemon and faulty upstream, the time from the start of the
  // fault until the daemon stopped sending regular load to the upstream; the
  // duration of the fault if it never did.
  std::vector<base::Duration> detection_times;
  // The number of such pairs in which the daemon never stopped.
  std::uint64_t missed_detections = 0;
  // The number of times that a daemon took a healthy upstream out of service.
  std::uint64_t false_ejections = 0;
  // Simulated hours, summed over all pairs of daemon and upstream.
  double upstream_hours = 0;
  // The number of times that a daemon's remaining slots were found below the
  // floor for another reason than drains, plus the number of ledger writes that
  // left fewer slots than the floor.
  std::uint64_t floor_violations = 0;
  // The number of upstreams that were added to the ledger, and the number of
  // healthy ones among them.
  std::uint64_t fleet_ejections = 0;
  std::uint64_t false_fleet_ejections = 0;
  std::uint64_t reports_sent = 0;
  std::uint64_t store_calls = 0;
  double daemon_seconds = 0;
};

}  // namespace poplarfork::replay
