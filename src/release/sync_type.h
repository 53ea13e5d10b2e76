#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "release/member_type.h"
#include "release/partial_snapshot_type.h"

namespace poplarfork::release {

// The installed revision that a peer stated in its status.
struct PeerStatus {
  Member peer;
  base::Revision revision;
};

// Progress of reading a snapshot from one peer.
struct PeerSnapshot {
  bool active = false;
  base::DaemonId source;
  PartialSnapshot partial;
  base::TimePoint retry_at;
};

// Progress of a sync. A sync brings a daemon up to date when it starts, resumes
// after a pause, or finds that the log was compacted beyond its installed
// revision. The store is read first; peers are asked as well once the store has
// failed to reply.
struct SyncState {
  bool active = false;
  base::TimePoint started_at;
  // Number of store calls in a row that failed.
  std::uint32_t store_failures = 0;
  base::TimePoint store_retry_at;
  // The snapshot that is being read from the store.
  PartialSnapshot store_snapshot;
  // Statuses of the peers that replied and have a configuration in force.
  std::vector<PeerStatus> peer_statuses;
  base::TimePoint next_status_request_at;
  // The revision to fetch from peers; set once enough peers have replied.
  bool has_target = false;
  base::Revision target;
  // If the target is not reached by then, the peers are asked again, because
  // the peer that has the target revision may be gone.
  base::TimePoint target_deadline;
};

// Progress of fetching entries that a peer has and this daemon lacks.
struct PullState {
  bool active = false;
  base::Revision target;
  // Last revision that the reply to the latest request can contain.
  base::Revision batch_end;
  // Requests to peers since the last progress.
  std::uint32_t attempts = 0;
  base::TimePoint retry_at;
};

}  // namespace poplarfork::release
