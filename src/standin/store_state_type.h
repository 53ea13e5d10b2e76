#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::standin {

// What the store holds under a key. `version` counts the writes since the key
// was created; `lease_id` is 0 for a key without a lease.
struct StoredValue {
  std::string value;
  std::uint64_t create_revision = 0;
  std::uint64_t mod_revision = 0;
  std::uint64_t version = 0;
  std::uint64_t lease_id = 0;
};

// A range of keys from `key` up to, but not including, `range_end`. With an
// empty `range_end` it holds the single key `key`; with the one-byte string
// "\0", all keys from `key` on.
struct KeyRange {
  std::string key;
  std::string range_end;
};

// One change of a key. For a deletion, `stored` holds its revision only.
struct StoreEvent {
  bool is_delete = false;
  std::string key;
  StoredValue stored;
};

struct Lease {
  base::Duration time_to_live{};
  base::TimePoint expires_at;
};

// The contents of the store. `history` holds the latest changes, which a watch
// that starts at an earlier revision gets; `compacted_revision` is the last
// revision whose changes it no longer holds.
struct StoreState {
  std::uint64_t revision = 1;
  std::map<std::string, StoredValue> values;
  std::deque<StoreEvent> history;
  std::uint64_t compacted_revision = 0;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t next_lease_id = 1000;
};

}  // namespace poplarfork::standin
