#pragma once

#include <set>
#include <vector>

#include "fleet/view_type.h"

namespace poplarfork::fleet {

// Records that one daemon sends to another at a time, those with the oldest
// changes first.
struct ListBatch {
  // The batch contains records that changed after this revision.
  StoreRevision since;
  // A receiver that has this batch and all before it knows all changes up to
  // this revision.
  StoreRevision as_of;
  // There are records with later changes that are not in this batch.
  bool more = false;
  std::vector<MemberRecord> members;
  std::vector<UpstreamRecord> upstreams;
};

// Progress of the transfer of a complete list to this daemon. Records that the
// list has not named when it is complete are removed.
struct ListTransfer {
  bool in_progress = false;
  // All records up to this revision have been received.
  StoreRevision received_up_to;
  std::set<base::UpstreamId> upstreams;
  std::set<base::DaemonId> members;
};

// How a batch was used in the transfer of a list.
enum class BatchResult {
  // The batch was ignored because it does not directly follow the received ones
  // or had been received before.
  kIgnored,
  kApplied,
  // The batch was applied and was the last one, so the transfer now names all
  // records.
  kCompleted,
};

}  // namespace poplarfork::fleet
