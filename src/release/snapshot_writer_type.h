#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::release {

// Progress of writing a snapshot to the store, one chunk at a time.
struct SnapshotWriter {
  bool active = false;
  base::Revision revision;
  std::vector<std::string> chunks;
  std::uint32_t next_chunk = 0;
  std::uint32_t failures = 0;
  base::TimePoint retry_at;
};

// The snapshot that is being served to peers.
struct ServedSnapshot {
  base::Revision revision;
  std::vector<std::string> chunks;
  // Time after which the chunks are dropped; each request postpones it.
  base::TimePoint expires_at;
};

}  // namespace poplarfork::release
