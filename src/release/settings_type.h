#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::release {

// Limits and timeouts for publishing and installing release notes.
struct ReleaseSettings {
  base::Duration store_timeout = std::chrono::milliseconds(1000);
  base::Duration watch_timeout = std::chrono::seconds(30);
  // Longest time from the start of a publication until its entry is in the log
  // or the operator gets a result.
  base::Duration publish_timeout = std::chrono::seconds(5);
  // Longest time to wait until two peers acknowledge a published entry. The
  // note is then reported as accepted even if fewer have done so.
  base::Duration replication_timeout = std::chrono::seconds(2);
  base::Duration peer_timeout = std::chrono::milliseconds(500);
  // Time after a pause until a daemon that holds a configuration becomes ready
  // again although it has not caught up, because it reaches neither the store
  // nor peers.
  base::Duration resume_timeout = std::chrono::seconds(5);
  // First and longest delay before the retry of a store call that got no reply.
  base::Duration initial_backoff = std::chrono::milliseconds(100);
  base::Duration max_backoff = std::chrono::seconds(10);
  // Longest such delay for publications. It is shorter, because an operator
  // waits for the result.
  base::Duration max_publish_backoff = std::chrono::milliseconds(400);
  // Rate and burst of the token bucket for calls to the store. A daemon that
  // starts in a full-size fleet reads 36 snapshot chunks and 40 batches of
  // entries, which the burst covers.
  double store_calls_per_second = 10;
  double store_call_burst = 100;
  std::uint32_t watchers_per_data_centre = 2;
  // Number of random peers to which a daemon forwards a new entry.
  std::uint32_t forward_fanout = 4;
  std::uint32_t max_entries_per_read = 64;
  std::uint32_t max_queued_publications = 32;
  // Revisions between two snapshots, and log entries that are kept in the store
  // before the latest snapshot.
  std::uint64_t snapshot_interval = 2500;
  std::uint64_t retained_revisions = 5000;
  // Number of the latest revisions whose note ids are kept, so that a repeated
  // publication is recognised. The default covers more than one day at 35,000
  // notes a day.
  std::uint64_t retained_note_ids = 50000;
  // Limits on the entries that are kept in memory to serve peers.
  std::uint32_t max_recent_entries = 1024;
  std::uint64_t max_recent_bytes = 4UL * 1024 * 1024;
  // Largest size of a snapshot chunk; a value in the store holds at most 1 MB.
  std::uint64_t max_chunk_bytes = 900UL * 1000;
  // Time after the last request for which the chunks of a snapshot that is
  // served to peers stay in memory.
  base::Duration served_snapshot_ttl = std::chrono::seconds(10);
};

}  // namespace poplarfork::release
