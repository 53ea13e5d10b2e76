#pragma once

#include <set>
#include <vector>

#include "fleet/view_type.h"

namespace poplarfork::fleet {

// Records that one daemon sends another at a time, the longest unchanged first.
struct ListBatch {
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

}  // namespace poplarfork::fleet
