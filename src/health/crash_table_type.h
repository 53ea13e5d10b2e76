#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::health {

// First loss of a connection that carried a request with a certain fingerprint.
struct FirstLoss {
  base::UpstreamId upstream;
  base::TimePoint lost_at{};
  // Outcome evidence that the loss added to the upstream, in nats. It is
  // subtracted again if the request turns out to be the cause.
  double counted_outcome_score = 0;
};

// Fingerprints of requests that may crash upstreams and of those that are known
// to crash them.
struct CrashTable {
  // Maps a fingerprint to its first loss.
  std::map<std::uint64_t, FirstLoss> first_losses;
  // Maps a refused fingerprint to the time at which it is accepted again.
  std::map<std::uint64_t, base::TimePoint> refused_until;
  // Fingerprints that were answered recently. Each is stored at its value
  // modulo the table size and replaces an earlier one there.
  std::vector<std::uint64_t> answered_fingerprints;
};

}  // namespace poplarfork::health
