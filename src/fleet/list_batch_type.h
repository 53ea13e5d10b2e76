#pragma once

#include <set>
#include <vector>

#include "fleet/view_type.h"

namespace poplarfork::fleet {

// Records that one daemon sends another at a time, the longest unchanged first.
struct ListBatch {
  // Records with later changes than this one are in it.
  StoreRevision since;
  // With it, all changes up to this revision are known.
  StoreRevision as_of;
  // Records with later changes were left out.
  bool more = false;
  std::vector<MemberRecord> members;
  std::vector<UpstreamRecord> upstreams;
};

// How far a daemon has received a whole list. What the list did not name by its
// end is gone.
struct ListTransfer {
  bool under_way = false;
  // Records up to this revision have been received.
  StoreRevision cursor;
  std::set<base::UpstreamId> upstreams;
  std::set<base::DaemonId> members;
};

// What a batch was to a transfer.
enum class BatchUse {
  // It does not follow on what has been received, or was received before.
  kIgnored,
  kTaken,
  // It was the last part; the transfer names all that there is.
  kCompletes,
};

}  // namespace poplarfork::fleet
