#pragma once

#include <cstdint>
#include <string>

#include "base/strong_id_type.h"

namespace poplarfork::store {

// Number that the store assigns to each change of its contents. It is unrelated
// to base::Revision, the number of a release note.
using StoreRevision = base::NumberId<struct StoreRevisionTag>;

// Identifier of a lease; 0 means no lease.
using LeaseId = base::NumberId<struct LeaseTag>;

// A key with its value. `create_revision` and `mod_revision` are the store
// revisions at which the key was created and last changed.
struct KeyValue {
  std::string key;
  std::string value;
  StoreRevision create_revision;
  StoreRevision mod_revision;
  LeaseId lease;
};

// The keys from `first` (inclusive) to `end` (exclusive). An empty `end` means
// the single key `first`; an `end` of one zero byte means no upper bound.
struct KeyRange {
  std::string first;
  std::string end;
};

}  // namespace poplarfork::store
