#include "store/gateway_json_func.h"

#include <charconv>
#include <chrono>
#include <exception>
#include <utility>
#include <vector>

#include <cpprest/asyncrt_utils.h>

#include "base/error_func.h"

namespace poplarfork::store {

namespace {

using web::json::value;

base::Error MakeMalformedError(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kStoreCall,
                         "", detail);
}

value Base64Value(const std::string& bytes) {
  return value::string(
      utility::conversions::to_base64({bytes.begin(), bytes.end()}));
}

value NumberValue(std::uint64_t number) {
  return value::string(std::to_string(number));
}

value JsonMember(const value& json, const std::string& name) {
  if (!json.is_object() || !json.has_field(name))
    return value::null();
  return json.at(name);
}

bool BooleanMember(const value& json, const std::string& name) {
  const value member = JsonMember(json, name);
  return member.is_boolean() && member.as_bool();
}

std::uint64_t NumberMember(const value& json, const std::string& name) {
  const value member = JsonMember(json, name);
  if (member.is_number())
    return member.as_number().to_uint64();
  if (!member.is_string())
    return 0;
  const std::string& text = member.as_string();
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

base::Result<std::string> BytesMember(const value& json,
                                      const std::string& name) {
  const value member = JsonMember(json, name);
  if (!member.is_string())
    return std::string();
  try {
    const auto bytes = utility::conversions::from_base64(member.as_string());
    return std::string(bytes.begin(), bytes.end());
  } catch (const std::exception& error) {
    return MakeMalformedError("base64 in \"" + name + "\": " + error.what());
  }
}

base::Result<KeyValue> ParseKeyValue(const value& json) {
  BOOST_OUTCOME_TRY(key, BytesMember(json, "key"));
  BOOST_OUTCOME_TRY(bytes, BytesMember(json, "value"));
  KeyValue entry;
  entry.key = std::move(key);
  entry.value = std::move(bytes);
  entry.create_revision.value = NumberMember(json, "create_revision");
  entry.mod_revision.value = NumberMember(json, "mod_revision");
  entry.lease.value = NumberMember(json, "lease");
  return entry;
}

value TxnBody(const std::string& key, value comparison, value put) {
  comparison["key"] = Base64Value(key);
  comparison["result"] = value::string("EQUAL");
  value success = value::object();
  success["request_put"] = std::move(put);
  value failure = value::object();
  failure["request_range"] = RangeBody(KeyRange{key, ""}, 0);
  value body = value::object();
  body["compare"] = value::array({std::move(comparison)});
  body["success"] = value::array({std::move(success)});
  body["failure"] = value::array({std::move(failure)});
  return body;
}

base::Result<WatchEvent> ParseEvent(const value& json) {
  BOOST_OUTCOME_TRY(entry, ParseKeyValue(JsonMember(json, "kv")));
  WatchEvent event;
  const value type = JsonMember(json, "type");
  event.is_delete = type.is_string() && type.as_string() == "DELETE";
  event.entry = std::move(entry);
  return event;
}

}  // namespace

value RangeBody(const KeyRange& range, std::uint64_t limit) {
  value body = value::object();
  body["key"] = Base64Value(range.first);
  if (!range.end.empty())
    body["range_end"] = Base64Value(range.end);
  if (limit != 0)
    body["limit"] = NumberValue(limit);
  return body;
}

value PutBody(const std::string& key, const std::string& bytes, LeaseId lease) {
  value body = value::object();
  body["key"] = Base64Value(key);
  body["value"] = Base64Value(bytes);
  if (lease.value != 0)
    body["lease"] = NumberValue(lease.value);
  return body;
}

value KeysOnlyBody(const KeyRange& range, std::uint64_t limit) {
  value body = RangeBody(range, limit);
  body["keys_only"] = value::boolean(true);
  return body;
}

value GuardedCreateBody(const std::string& key,
                        const std::string& bytes,
                        const std::string& guard) {
  value guard_comparison = value::object();
  guard_comparison["key"] = Base64Value(guard);
  guard_comparison["result"] = value::string("GREATER");
  guard_comparison["target"] = value::string("CREATE");
  guard_comparison["create_revision"] = NumberValue(0);
  value body = CreateBody(key, bytes, LeaseId{});
  value comparisons = body.at("compare");
  comparisons[comparisons.size()] = std::move(guard_comparison);
  body["compare"] = std::move(comparisons);
  return body;
}

value CreateBody(const std::string& key,
                 const std::string& bytes,
                 LeaseId lease) {
  value comparison = value::object();
  comparison["target"] = value::string("CREATE");
  comparison["create_revision"] = NumberValue(0);
  return TxnBody(key, std::move(comparison), PutBody(key, bytes, lease));
}

value CompareAndSwapBody(const std::string& key,
                         StoreRevision expected,
                         const std::string& bytes) {
  value comparison = value::object();
  comparison["target"] = value::string("MOD");
  comparison["mod_revision"] = NumberValue(expected.value);
  return TxnBody(key, std::move(comparison), PutBody(key, bytes, LeaseId{}));
}

value WatchBody(const KeyRange& range, StoreRevision from_revision) {
  value create = RangeBody(range, 0);
  create["start_revision"] = NumberValue(from_revision.value);
  value body = value::object();
  body["create_request"] = std::move(create);
  return body;
}

base::Result<RangeResult> ParseRange(const value& json) {
  RangeResult result;
  result.revision = ParseRevision(json);
  result.has_more = BooleanMember(json, "more");
  const value entries = JsonMember(json, "kvs");
  if (!entries.is_array())
    return result;
  for (const value& element : entries.as_array()) {
    BOOST_OUTCOME_TRY(entry, ParseKeyValue(element));
    result.entries.push_back(std::move(entry));
  }
  return result;
}

base::Result<TxnOutcome> ParseTxn(const value& json) {
  TxnOutcome outcome;
  outcome.revision = ParseRevision(json);
  if (outcome.revision.value == 0)
    return MakeMalformedError("the transaction's reply has no revision");
  outcome.has_succeeded = BooleanMember(json, "succeeded");
  const value responses = JsonMember(json, "responses");
  if (outcome.has_succeeded || !responses.is_array())
    return outcome;
  for (const value& element : responses.as_array()) {
    BOOST_OUTCOME_TRY(range, ParseRange(JsonMember(element, "response_range")));
    if (!range.entries.empty())
      outcome.existing = std::move(range.entries.front());
  }
  return outcome;
}

StoreRevision ParseRevision(const value& json) {
  return StoreRevision{NumberMember(JsonMember(json, "header"), "revision")};
}

LeaseResult ParseLease(const value& json) {
  LeaseResult result;
  result.lease.value = NumberMember(json, "ID");
  result.time_to_live = std::chrono::seconds(NumberMember(json, "TTL"));
  return result;
}

base::Result<WatchLine> ParseWatchLine(const std::string& text) {
  std::error_code error;
  const value json = value::parse(text, error);
  const value result = JsonMember(json, "result");
  if (error || !result.is_object())
    return MakeMalformedError(
        "a line of the watch stream has no result object");
  WatchLine line;
  line.batch.revision = ParseRevision(result);
  line.is_created = BooleanMember(result, "created");
  line.is_canceled = BooleanMember(result, "canceled");
  line.compact_revision.value = NumberMember(result, "compact_revision");
  const value events = JsonMember(result, "events");
  if (!events.is_array())
    return line;
  for (const value& element : events.as_array()) {
    BOOST_OUTCOME_TRY(event, ParseEvent(element));
    line.batch.events.push_back(std::move(event));
  }
  return line;
}

}  // namespace poplarfork::store
