#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "base/result_type.h"
#include "store/key_value_type.h"

namespace poplarfork::store {

// Result of reading one key. `entry` is empty if the key does not exist;
// `revision` is the store's revision at the time of the read.
struct GetResult {
  std::optional<KeyValue> entry;
  StoreRevision revision;
};

// Result of reading a range: its entries in key order. `has_more` is true if
// the limit left out further entries; `revision` is the store's revision at the
// time of the read.
struct RangeResult {
  std::vector<KeyValue> entries;
  bool has_more = false;
  StoreRevision revision;
};

using GetCallback = std::function<void(base::Result<GetResult>)>;
using RangeCallback = std::function<void(base::Result<RangeResult>)>;

}  // namespace poplarfork::store
