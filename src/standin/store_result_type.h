#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "standin/store_state_type.h"

namespace poplarfork::standin {

// A key and what the store holds under it.
struct KeyValue {
  std::string key;
  StoredValue stored;
};

// The result of reading a range. `count` is the number of all keys in the
// range; `has_more` is true when `values` holds fewer of them because of the
// limit.
struct RangeResult {
  std::vector<KeyValue> values;
  std::uint64_t count = 0;
  bool has_more = false;
};

struct PutResult {};

struct DeleteResult {
  std::uint64_t deleted_count = 0;
};

using OperationResult = std::variant<RangeResult, PutResult, DeleteResult>;

// The result of a transaction: whether all comparisons held, and the results of
// the operations that were executed.
struct TxnResult {
  bool has_succeeded = false;
  std::vector<OperationResult> results;
};

}  // namespace poplarfork::standin
