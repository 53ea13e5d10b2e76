#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <cpprest/json.h>

#include "base/result_type.h"
#include "store/key_value_type.h"
#include "store/lease_result_type.h"
#include "store/read_result_type.h"
#include "store/watch_type.h"

namespace poplarfork::store {

// Each function below returns the request body of a call to the store's JSON
// gateway.
web::json::value RangeBody(const KeyRange& range, std::uint64_t limit);
// Requests the keys without their values.
web::json::value KeysOnlyBody(const KeyRange& range, std::uint64_t limit);
web::json::value PutBody(const std::string& key,
                         const std::string& value,
                         LeaseId lease);
web::json::value CreateBody(const std::string& key,
                            const std::string& value,
                            LeaseId lease);
// Creates `key` if it does not exist and the key `guard` exists.
web::json::value GuardedCreateBody(const std::string& key,
                                   const std::string& value,
                                   const std::string& guard);
web::json::value CompareAndSwapBody(const std::string& key,
                                    StoreRevision expected,
                                    const std::string& value);
web::json::value WatchBody(const KeyRange& range, StoreRevision from_revision);

// Result of a transaction. `existing` is the key as the store holds it if a
// comparison failed, and is empty if the key does not exist.
struct TxnOutcome {
  bool has_succeeded = false;
  StoreRevision revision;
  std::optional<KeyValue> existing;
};

// Each function below parses a reply of the gateway. The gateway leaves out
// members that have the value 0, false or "". Errors are kMalformed and have no
// peer.
base::Result<RangeResult> ParseRange(const web::json::value& json);
base::Result<TxnOutcome> ParseTxn(const web::json::value& json);
StoreRevision ParseRevision(const web::json::value& json);
LeaseResult ParseLease(const web::json::value& json);

// One line of the response stream of a watch.
struct WatchLine {
  WatchBatch batch;
  bool is_created = false;
  bool is_canceled = false;
  StoreRevision compact_revision;
};

base::Result<WatchLine> ParseWatchLine(const std::string& text);

}  // namespace poplarfork::store
