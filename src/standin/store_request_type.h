#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "standin/store_state_type.h"

namespace poplarfork::standin {

// Reads at most `limit` keys of a range; 0 means no limit.
struct RangeRequest {
  KeyRange range;
  std::uint64_t limit = 0;
  bool is_keys_only = false;
};

struct PutRequest {
  std::string key;
  std::string value;
  std::uint64_t lease_id = 0;
};

struct DeleteRequest {
  KeyRange range;
};

using StoreOperation = std::variant<RangeRequest, PutRequest, DeleteRequest>;

enum class CompareTarget { kCreateRevision, kModRevision, kVersion };

enum class CompareResult { kEqual, kNotEqual, kGreater, kLess };

// A condition of a transaction: the property `target` of a key, or 0 when the
// key is absent, must have the relation `result` to `operand`.
struct Comparison {
  std::string key;
  CompareTarget target = CompareTarget::kCreateRevision;
  CompareResult result = CompareResult::kEqual;
  std::uint64_t operand = 0;
};

// A transaction, which executes the `success` operations if all comparisons
// hold and the `failure` operations otherwise.
struct TxnRequest {
  std::vector<Comparison> comparisons;
  std::vector<StoreOperation> success;
  std::vector<StoreOperation> failure;
};

struct WatchRequest {
  KeyRange range;
  // Revision of the first change to send; 0 means the next change.
  std::uint64_t start_revision = 0;
};

}  // namespace poplarfork::standin
