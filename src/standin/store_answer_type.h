#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "standin/store_state_type.h"

namespace poplarfork::standin {

// A key and what the store holds under it.
struct FoundValue {
  std::string key;
  StoredValue stored;
};

// The result of reading a range. `count` is the number of all keys in the
// range; `has_more` is true when `values` holds fewer of them because of the
// limit.
struct RangeAnswer {
  std::vector<FoundValue> values;
  std::uint64_t count = 0;
  bool has_more = false;
};

struct PutAnswer {};

struct DeleteAnswer {
  std::uint64_t deleted = 0;
};

using OperationAnswer = std::variant<RangeAnswer, PutAnswer, DeleteAnswer>;

// The result of a transaction: whether all comparisons held, and the results of
// the operations that were executed therefore.
struct TxnAnswer {
  bool has_succeeded = false;
  std::vector<OperationAnswer> answers;
};

}  // namespace poplarfork::standin
