#pragma once

#include <cstdint>
#include <string>

#include "base/time_type.h"
#include "release/ids_type.h"

namespace poplarfork::release {

enum class StoreCallKind {
  // Reads the keys and values in [key, end_key), ordered by key. The reply is
  // kFound or kAbsent.
  kReadRange,
  // Reads only the keys in [key, end_key). The reply is kFound or kAbsent.
  kListKeys,
  // Creates `key` if it is absent and `guard_key`, unless empty, is present.
  // The reply is kCreated or kConflict.
  kCreate,
  // Waits until a key in [key, end_key) exists. The reply is kFound as soon as
  // there is one, even if it existed before the call, and kAbsent if `timeout`
  // passes without one.
  kWatch,
  // Deletes the keys in [key, end_key). The reply is kDeleted.
  kDeleteRange,
};

// Action: call the store. The driver reports exactly one `StoreReply` for each
// call. If there is none after `timeout` (for kWatch, some time after it), the
// driver reports kNoReply.
struct StoreCall {
  StoreCallId id;
  StoreCallKind kind = StoreCallKind::kReadRange;
  std::string key;
  // Exclusive end of the range.
  std::string end_key;
  std::string value;
  // A key that must exist for a create to succeed. It keeps a daemon that is
  // far behind from writing a revision whose entry was deleted by a compaction.
  std::string guard_key;
  // Largest number of items in the reply; 0 means no limit.
  std::uint32_t limit = 0;
  base::Duration timeout{};
};

}  // namespace poplarfork::release
