#include "standin/store_json_func.h"

#include <array>
#include <string>
#include <utility>

#include "base/error_func.h"
#include "standin/json_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

struct TargetName {
  const char* name;
  const char* snake_operand;
  const char* camel_operand;
  CompareTarget target;
};

constexpr std::array<TargetName, 3> kTargetNames = {{
    {"CREATE", "create_revision", "createRevision",
     CompareTarget::kCreateRevision},
    {"MOD", "mod_revision", "modRevision", CompareTarget::kModRevision},
    {"VERSION", "version", "version", CompareTarget::kVersion},
}};

struct ResultName {
  const char* name;
  CompareResult result;
};

constexpr std::array<ResultName, 4> kResultNames = {{
    {"EQUAL", CompareResult::kEqual},
    {"NOT_EQUAL", CompareResult::kNotEqual},
    {"GREATER", CompareResult::kGreater},
    {"LESS", CompareResult::kLess},
}};

base::Error Unsupported(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kUnsupported, base::Step::kStoreCall,
                         "", detail);
}

value EitherMember(const value& json, const char* snake, const char* camel) {
  const value member = Member(json, snake);
  return member.is_null() ? Member(json, camel) : member;
}

base::Result<std::string> BytesMember(const value& json,
                                      const char* snake,
                                      const char* camel) {
  const value member = EitherMember(json, snake, camel);
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
  const std::string result = TextMember(json, "result", "EQUAL");
  const std::string target = TextMember(json, "target", "VERSION");
  bool is_known = false;
  for (const ResultName& entry : kResultNames) {
    if (result == entry.name) {
      comparison.result = entry.result;
      is_known = true;
    }
  }
  if (!is_known)
    return Unsupported("compare result " + result);
  for (const TargetName& entry : kTargetNames) {
    if (target != entry.name)
      continue;
    comparison.target = entry.target;
    comparison.operand = CountMember(json, entry.snake_operand,
                                     CountMember(json, entry.camel_operand, 0));
    return comparison;
  }
  return Unsupported("compare target " + target);
}

base::Result<StoreOperation> ReadOperation(const value& json) {
  const value put = EitherMember(json, "request_put", "requestPut");
  if (put.is_object()) {
    BOOST_OUTCOME_TRY(request, ReadPutRequest(put));
    return StoreOperation(std::move(request));
  }
  const value range = EitherMember(json, "request_range", "requestRange");
  if (range.is_object()) {
    BOOST_OUTCOME_TRY(request, ReadRangeRequest(range));
    return StoreOperation(std::move(request));
  }
  const value deletion =
      EitherMember(json, "request_delete_range", "requestDeleteRange");
  if (deletion.is_object()) {
    BOOST_OUTCOME_TRY(request, ReadDeleteRequest(deletion));
    return StoreOperation(std::move(request));
  }
  return Unsupported("operation " + json.serialize());
}

base::Result<std::vector<StoreOperation>> ReadOperations(const value& json) {
  std::vector<StoreOperation> operations;
  if (!json.is_array())
    return operations;
  for (const value& each : json.as_array()) {
    BOOST_OUTCOME_TRY(operation, ReadOperation(each));
    operations.push_back(std::move(operation));
  }
  return operations;
}

value ValueJson(const std::string& key, const StoredValue& stored) {
  value json = value::object();
  json["key"] = value::string(EncodeBase64(key));
  json["mod_revision"] = CountText(stored.mod_revision);
  if (stored.create_revision != 0)
    json["create_revision"] = CountText(stored.create_revision);
  if (stored.version != 0)
    json["version"] = CountText(stored.version);
  if (!stored.value.empty())
    json["value"] = value::string(EncodeBase64(stored.value));
  if (stored.lease != 0)
    json["lease"] = CountText(stored.lease);
  return json;
}

void AddRange(value& json, const RangeAnswer& answer) {
  if (answer.count == 0)
    return;
  json["count"] = CountText(answer.count);
  if (answer.has_more)
    json["more"] = value::boolean(true);
  if (answer.values.empty())
    return;
  std::vector<value> values;
  for (const FoundValue& found : answer.values)
    values.push_back(ValueJson(found.key, found.stored));
  json["kvs"] = value::array(std::move(values));
}

const char* ResponseName(const OperationAnswer& answer) {
  if (std::holds_alternative<PutAnswer>(answer))
    return "response_put";
  if (std::holds_alternative<DeleteAnswer>(answer))
    return "response_delete_range";
  return "response_range";
}

}  // namespace

base::Result<RangeRequest> ReadRangeRequest(const value& json) {
  RangeRequest request;
  BOOST_OUTCOME_TRY(range, ReadKeyRange(json));
  request.range = std::move(range);
  request.limit = CountMember(json, "limit", 0);
  const value keys_only = EitherMember(json, "keys_only", "keysOnly");
  request.is_keys_only = keys_only.is_boolean() && keys_only.as_bool();
  return request;
}

base::Result<PutRequest> ReadPutRequest(const value& json) {
  PutRequest request;
  BOOST_OUTCOME_TRY(key, BytesMember(json, "key", "key"));
  request.key = std::move(key);
  BOOST_OUTCOME_TRY(value, BytesMember(json, "value", "value"));
  request.value = std::move(value);
  request.lease = CountMember(json, "lease", 0);
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
  const value comparisons = Member(json, "compare");
  if (comparisons.is_array()) {
    for (const value& each : comparisons.as_array()) {
      BOOST_OUTCOME_TRY(comparison, ReadComparison(each));
      request.comparisons.push_back(std::move(comparison));
    }
  }
  BOOST_OUTCOME_TRY(success, ReadOperations(Member(json, "success")));
  request.success = std::move(success);
  BOOST_OUTCOME_TRY(failure, ReadOperations(Member(json, "failure")));
  request.failure = std::move(failure);
  return request;
}

base::Result<WatchRequest> ReadWatchRequest(const value& json) {
  const value create = EitherMember(json, "create_request", "createRequest");
  if (!create.is_object())
    return Unsupported("watch request without create_request");
  WatchRequest request;
  BOOST_OUTCOME_TRY(range, ReadKeyRange(create));
  request.range = std::move(range);
  request.start_revision = CountMember(create, "start_revision",
                                       CountMember(create, "startRevision", 0));
  return request;
}

value HeaderJson(std::uint64_t revision) {
  value json = value::object();
  json["cluster_id"] = CountText(1);
  json["member_id"] = CountText(1);
  json["revision"] = CountText(revision);
  return json;
}

value AnswerJson(const OperationAnswer& answer, std::uint64_t revision) {
  value json = value::object();
  json["header"] = HeaderJson(revision);
  if (const auto* range = std::get_if<RangeAnswer>(&answer))
    AddRange(json, *range);
  const auto* deletion = std::get_if<DeleteAnswer>(&answer);
  if (deletion != nullptr && deletion->deleted != 0)
    json["deleted"] = CountText(deletion->deleted);
  return json;
}

value TxnJson(const TxnAnswer& answer, std::uint64_t revision) {
  value json = value::object();
  json["header"] = HeaderJson(revision);
  if (answer.has_succeeded)
    json["succeeded"] = value::boolean(true);
  std::vector<value> responses;
  for (const OperationAnswer& each : answer.answers) {
    value response = value::object();
    response[ResponseName(each)] = AnswerJson(each, revision);
    responses.push_back(std::move(response));
  }
  if (!responses.empty())
    json["responses"] = value::array(std::move(responses));
  return json;
}

value EventsJson(const std::vector<StoreEvent>& events,
                 std::uint64_t revision) {
  std::vector<value> list;
  for (const StoreEvent& event : events) {
    value each = value::object();
    if (event.is_delete)
      each["type"] = value::string("DELETE");
    each["kv"] = ValueJson(event.key, event.stored);
    list.push_back(std::move(each));
  }
  value result = value::object();
  result["header"] = HeaderJson(revision);
  result["events"] = value::array(std::move(list));
  value json = value::object();
  json["result"] = std::move(result);
  return json;
}

}  // namespace poplarfork::standin
