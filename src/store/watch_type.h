#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/result_type.h"
#include "store/key_value_type.h"

namespace poplarfork::store {

// One change of a key.
struct WatchEvent {
  bool is_delete = false;
  // The key after the change. If the key was deleted, only `key` and
  // `mod_revision` are set.
  KeyValue entry;
};

// Changes in the order in which they happened. `revision` is the revision of
// the last one. All changes of the watched keys up to it have been delivered.
struct WatchBatch {
  std::vector<WatchEvent> events;
  StoreRevision revision;
};

// Called on the loop with each batch, and with an error whenever the watch is
// interrupted. After kOutOfRange the watch has ended: the store has compacted
// away changes that the watch has not delivered, so the keys must be read
// again. After any other error, the watch reconnects by itself.
using WatchCallback = std::function<void(const base::Result<WatchBatch>&)>;

struct Watch;
using WatchPtr = std::shared_ptr<Watch>;

}  // namespace poplarfork::store
