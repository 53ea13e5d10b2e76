#pragma once

#include <cstdint>
#include <vector>

#include <cpprest/json.h>

#include "base/result_type.h"
#include "standin/store_request_type.h"
#include "standin/store_result_type.h"

namespace poplarfork::standin {

// Parse the request bodies of etcd's v3 JSON gateway. The names of members may
// be in snake_case or camelCase. Errors: kMalformed for invalid base64;
// kUnsupported for a comparison, an operation or a watch request that the
// stand-in does not implement.
base::Result<RangeRequest> ReadRangeRequest(const web::json::value& json);
base::Result<PutRequest> ReadPutRequest(const web::json::value& json);
base::Result<DeleteRequest> ReadDeleteRequest(const web::json::value& json);
base::Result<TxnRequest> ReadTxnRequest(const web::json::value& json);
base::Result<WatchRequest> ReadWatchRequest(const web::json::value& json);

// Return the bodies of replies. As in etcd's gateway, members with the values
// 0, false and "" are left out.
web::json::value HeaderJson(std::uint64_t revision);
web::json::value OperationResultJson(const OperationResult& operation_result,
                                     std::uint64_t revision);
web::json::value TxnResultJson(const TxnResult& txn_result,
                               std::uint64_t revision);
web::json::value EventsJson(const std::vector<StoreEvent>& events,
                            std::uint64_t revision);

}  // namespace poplarfork::standin
