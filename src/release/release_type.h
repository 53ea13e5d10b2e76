#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "release/event_type.h"
#include "release/install_type.h"
#include "release/member_type.h"
#include "release/publication_type.h"
#include "release/settings_type.h"
#include "release/snapshot_writer_type.h"
#include "release/store_call_queue_type.h"
#include "release/sync_type.h"

namespace poplarfork::release {

// State of the watch on the log in the store.
struct WatchState {
  // Number of watches in a row that got no reply.
  std::uint32_t failures = 0;
  base::TimePoint retry_at;
};

// Counters since the start of the daemon, for metrics.
struct ReleaseCounters {
  std::uint64_t installed = 0;
  std::uint64_t without_effect = 0;
  std::uint64_t forks = 0;
  std::uint64_t malformed_messages = 0;
  std::uint64_t malformed_entries = 0;
  std::uint64_t accepted = 0;
  std::uint64_t rejected = 0;
  std::uint64_t unknown = 0;
};

// State of publishing and installing release notes at one daemon.
struct ReleaseState {
  Member self;
  ReleaseSettings settings;
  InstallState install;
  // True while the daemon may route new work.
  bool ready = false;
  // True once the daemon has been ready; it then holds a configuration, even if
  // an old one.
  bool has_been_ready = false;
  // The live daemons that are not leaving, except this one.
  std::vector<Member> members;
  // The last reading of the platform's VM list, if there was one.
  std::optional<VmListUpdated> vm_list;
  StoreCallQueue store_calls;
  std::deque<Publication> publications;
  SyncState sync;
  PullState pull;
  PeerSnapshot peer_snapshot;
  WatchState watch;
  SnapshotWriter snapshot_writer;
  ServedSnapshot served_snapshot;
  ReleaseCounters counters;
};

}  // namespace poplarfork::release
