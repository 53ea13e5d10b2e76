#include "standin/store_json_func.h"

#include <array>
#include <string>
#include <utility>

#include "base/error_func.h"
#include "standin/json_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

struct CompareTargetName {
  const char* name;
  const char* snake_operand;
  const char* camel_operand;
  CompareTarget target;
};

constexpr std::array<CompareTargetName, 3> kCompareTargetNames = {{
    {"CREATE", "create_revision", "createRevision",
     CompareTarget::kCreateRevision},
    {"MOD", "mod_revision", "modRevision", CompareTarget::kModRevision},
    {"VERSION", "version", "version", CompareTarget::kVersion},
}};

struct CompareResultName {
  const char* name;
  CompareResult result;
};

constexpr std::array<CompareResultName, 4> kCompareResultNames = {{
    {"EQUAL", CompareResult::kEqual},
    {"NOT_EQUAL", CompareResult::kNotEqual},
    {"GREATER", CompareResult::kGreater},
    {"LESS", CompareResult::kLess},
}};

base::Error MakeUnsupportedError(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kUnsupported, base::Step::kStoreCall,
                         "", detail);
}

value SnakeOrCamelMember(const value& json,
                         const char* snake,
                         const char* camel) {
  const value member = JsonMember(json, snake);
  return member.is_null() ? JsonMember(json, camel) : member;
}

base::Result<std::string> BytesMember(const value& json,
                                      const char* snake,
                                      const char* camel) {
  const value member = SnakeOrCamelMember(json, snake, camel);
  return DecodeBase64(member.is_string() ? member.as_string() : "");
}

base::Result<KeyRange> ReadKeyRange(const value& json) {
  KeyRange range;
  BOOST_OUTCOME_TRY(key, BytesMember(json, "key", "key"));
  range.key = std::move(key);
  BOOST_OUTCOME_TRY(range_end, BytesMember(json, "range_end", "rangeEnd"));
  range.range_end = std::move(range_end);
  return range;
}

base::Result<Comparison> ReadComparison(const value& json) {
  Comparison comparison;
  BOOST_OUTCOME_TRY(key, BytesMember(json, "key", "key"));
  comparison.key = std::move(key);
  const std::string result = StringMember(json, "result", "EQUAL");
  const std::string target = StringMember(json, "target", "VERSION");
  bool is_known = false;
  for (const CompareResultName& entry : kCompareResultNames) {
    if (result == entry.name) {
      comparison.result = entry.result;
      is_known = true;
    }
  }
  if (!is_known)
    return MakeUnsupportedError("compare result " + result);
  for (const CompareTargetName& entry : kCompareTargetNames) {
    if (target != entry.name)
      continue;
    comparison.target = entry.target;
    comparison.operand = Uint64Member(
        json, entry.snake_operand, Uint64Member(json, entry.camel_operand, 0));
    return comparison;
  }
  return MakeUnsupportedError("compare target " + target);
}

base::Result<StoreOperation> ReadOperation(const value& json) {
  const value put = SnakeOrCamelMember(json, "request_put", "requestPut");
  if (put.is_object()) {
    BOOST_OUTCOME_TRY(request, ReadPutRequest(put));
    return StoreOperation(std::move(request));
  }
  const value range = SnakeOrCamelMember(json, "request_range", "requestRange");
  if (range.is_object()) {
    BOOST_OUTCOME_TRY(request, ReadRangeRequest(range));
    return StoreOperation(std::move(request));
  }
  const value deletion =
      SnakeOrCamelMember(json, "request_delete_range", "requestDeleteRange");
  if (deletion.is_object()) {
    BOOST_OUTCOME_TRY(request, ReadDeleteRequest(deletion));
    return StoreOperation(std::move(request));
  }
  return MakeUnsupportedError("operation " + json.serialize());
}

base::Result<std::vector<StoreOperation>> ReadOperations(const value& json) {
  std::vector<StoreOperation> operations;
  if (!json.is_array())
    return operations;
  for (const value& item : json.as_array()) {
    BOOST_OUTCOME_TRY(operation, ReadOperation(item));
    operations.push_back(std::move(operation));
  }
  return operations;
}

value KeyValueJson(const std::string& key, const StoredValue& stored) {
  value json = value::object();
  json["key"] = value::string(EncodeBase64(key));
  json["mod_revision"] = Uint64ToJson(stored.mod_revision);
  if (stored.create_revision != 0)
    json["create_revision"] = Uint64ToJson(stored.create_revision);
  if (stored.version != 0)
    json["version"] = Uint64ToJson(stored.version);
  if (!stored.value.empty())
    json["value"] = value::string(EncodeBase64(stored.value));
  if (stored.lease_id != 0)
    json["lease"] = Uint64ToJson(stored.lease_id);
  return json;
}

void AddRangeResult(value& json, const RangeResult& range_result) {
  if (range_result.count == 0)
    return;
  json["count"] = Uint64ToJson(range_result.count);
  if (range_result.has_more)
    json["more"] = value::boolean(true);
  if (range_result.values.empty())
    return;
  std::vector<value> values;
  for (const KeyValue& key_value : range_result.values)
    values.push_back(KeyValueJson(key_value.key, key_value.stored));
  json["kvs"] = value::array(std::move(values));
}

const char* ResponseMemberName(const OperationResult& operation_result) {
  if (std::holds_alternative<PutResult>(operation_result))
    return "response_put";
  if (std::holds_alternative<DeleteResult>(operation_result))
    return "response_delete_range";
  return "response_range";
}

}  // namespace

base::Result<RangeRequest> ReadRangeRequest(const value& json) {
  RangeRequest request;
  BOOST_OUTCOME_TRY(range, ReadKeyRange(json));
  request.range = std::move(range);
  request.limit = Uint64Member(json, "limit", 0);
  const value keys_only = SnakeOrCamelMember(json, "keys_only", "keysOnly");
  request.is_keys_only = keys_only.is_boolean() && keys_only.as_bool();
  return request;
}

base::Result<PutRequest> ReadPutRequest(const value& json) {
  PutRequest request;
  BOOST_OUTCOME_TRY(key, BytesMember(json, "key", "key"));
  request.key = std::move(key);
  BOOST_OUTCOME_TRY(value, BytesMember(json, "value", "value"));
  request.value = std::move(value);
  request.lease_id = Uint64Member(json, "lease", 0);
  return request;
}

base::Result<DeleteRequest> ReadDeleteRequest(const value& json) {
  DeleteRequest request;
  BOOST_OUTCOME_TRY(range, ReadKeyRange(json));
  request.range = std::move(range);
  return request;
}

base::Result<TxnRequest> ReadTxnRequest(const value& json) {
  TxnRequest request;
  const value comparisons = JsonMember(json, "compare");
  if (comparisons.is_array()) {
    for (const value& item : comparisons.as_array()) {
      BOOST_OUTCOME_TRY(comparison, ReadComparison(item));
      request.comparisons.push_back(std::move(comparison));
    }
  }
  BOOST_OUTCOME_TRY(success, ReadOperations(JsonMember(json, "success")));
  request.success = std::move(success);
  BOOST_OUTCOME_TRY(failure, ReadOperations(JsonMember(json, "failure")));
  request.failure = std::move(failure);
  return request;
}

base::Result<WatchRequest> ReadWatchRequest(const value& json) {
  const value create_request =
      SnakeOrCamelMember(json, "create_request", "createRequest");
  if (!create_request.is_object())
    return MakeUnsupportedError("watch request without create_request");
  WatchRequest request;
  BOOST_OUTCOME_TRY(range, ReadKeyRange(create_request));
  request.range = std::move(range);
  request.start_revision =
      Uint64Member(create_request, "start_revision",
                   Uint64Member(create_request, "startRevision", 0));
  return request;
}

value HeaderJson(std::uint64_t revision) {
  value json = value::object();
  json["cluster_id"] = Uint64ToJson(1);
  json["member_id"] = Uint64ToJson(1);
  json["revision"] = Uint64ToJson(revision);
  return json;
}

value OperationResultJson(const OperationResult& operation_result,
                          std::uint64_t revision) {
  value json = value::object();
  json["header"] = HeaderJson(revision);
  if (const auto* range = std::get_if<RangeResult>(&operation_result))
    AddRangeResult(json, *range);
  const auto* deletion = std::get_if<DeleteResult>(&operation_result);
  if (deletion != nullptr && deletion->deleted_count != 0)
    json["deleted"] = Uint64ToJson(deletion->deleted_count);
  return json;
}

value TxnResultJson(const TxnResult& txn_result, std::uint64_t revision) {
  value json = value::object();
  json["header"] = HeaderJson(revision);
  if (txn_result.has_succeeded)
    json["succeeded"] = value::boolean(true);
  std::vector<value> responses;
  for (const OperationResult& operation_result : txn_result.results) {
    value response = value::object();
    response[ResponseMemberName(operation_result)] =
        OperationResultJson(operation_result, revision);
    responses.push_back(std::move(response));
  }
  if (!responses.empty())
    json["responses"] = value::array(std::move(responses));
  return json;
}

value EventsJson(const std::vector<StoreEvent>& events,
                 std::uint64_t revision) {
  std::vector<value> event_list;
  for (const StoreEvent& event : events) {
    value item = value::object();
    if (event.is_delete)
      item["type"] = value::string("DELETE");
    item["kv"] = KeyValueJson(event.key, event.stored);
    event_list.push_back(std::move(item));
  }
  value result = value::object();
  result["header"] = HeaderJson(revision);
  result["events"] = value::array(std::move(event_list));
  value json = value::object();
  json["result"] = std::move(result);
  return json;
}

}  // namespace poplarfork::standin
