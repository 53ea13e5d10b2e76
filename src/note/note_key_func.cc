#include "note/note_key_func.h"

#include <array>
#include <cmath>
#include <sstream>

#include "note/policy_text_func.h"

namespace poplarfork::note {

namespace {

// These short names keep the rows of the table below readable.
using E = NoteEntry;
using V = NoteValue;

constexpr double kMaxNameBytes = 64;
constexpr double kMaxTextBytes = 200;
constexpr double kMaxHostBytes = 253;
constexpr double kMaxPathBytes = 1024;
constexpr double kMaxMethodBytes = 16;
// 2^53 - 1: numbers are parsed as double, which holds integers exactly up to
// here.
constexpr double kMaxRevision = 9007199254740991.0;

std::uint32_t ToUint32(const V& value) {
  return static_cast<std::uint32_t>(value.number);
}

base::Duration ToMilliseconds(const V& value) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(value.number));
}

// clang-format off
constexpr std::array<NoteKey, 37> kNoteKeys = {{
    {MappingKind::kNote, "id", ValueType::kName, 1, kMaxNameBytes, false, "",
     [](E& e, const V& v) { e.note.id.value = v.text; }},
    {MappingKind::kNote, "author", ValueType::kText, 1, kMaxTextBytes, false, "",
     [](E& e, const V& v) { e.note.author = v.text; }},
    {MappingKind::kNote, "title", ValueType::kText, 0, kMaxTextBytes, false, "",
     [](E& e, const V& v) { e.note.title = v.text; }},
    {MappingKind::kNote, "base_revision", ValueType::kInteger, 0, kMaxRevision, false, "",
     [](E& e, const V& v) {
       e.note.base_revision = base::Revision{static_cast<std::uint64_t>(v.number)};
     }},
    {MappingKind::kNote, "add", ValueType::kNested, 0, 0, false, "", nullptr},
    {MappingKind::kNote, "change", ValueType::kNested, 0, 0, false, "", nullptr},
    {MappingKind::kNote, "withdraw", ValueType::kNested, 0, 0, false, "", nullptr},

    {MappingKind::kSection, "services", ValueType::kNested, 0, 0, false, "", nullptr},
    {MappingKind::kSection, "upstreams", ValueType::kNested, 0, 0, false, "", nullptr},
    {MappingKind::kSection, "routes", ValueType::kNested, 0, 0, false, "", nullptr},
    {MappingKind::kSection, "accounts", ValueType::kNested, 0, 0, false, "", nullptr},

    {MappingKind::kService, "name", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.service.id.value = v.text; }},
    {MappingKind::kService, "detection", ValueType::kChoice, 0, 0, false, "detection-fast ejection-sure",
     [](E& e, const V& v) { e.service.policy.detection = ParseDetectionPolicy(v.text); }},
    {MappingKind::kService, "urgency", ValueType::kChoice, 0, 0, false, "urgent normal bulk",
     [](E& e, const V& v) { e.service.policy.urgency = ParseUrgency(v.text); }},
    {MappingKind::kService, "floor", ValueType::kNumber, 0, 1, false, "",
     [](E& e, const V& v) { e.service.policy.floor = v.number; }},
    {MappingKind::kService, "deadline_ms", ValueType::kInteger, 10, 600000, false, "",
     [](E& e, const V& v) { e.service.policy.deadline = ToMilliseconds(v); }},
    {MappingKind::kService, "retry_ratio", ValueType::kNumber, 0, 1, false, "",
     [](E& e, const V& v) { e.service.policy.retry_ratio = v.number; }},
    {MappingKind::kService, "max_in_flight", ValueType::kInteger, 1, 100000, false, "",
     [](E& e, const V& v) { e.service.policy.max_in_flight = ToUint32(v); }},
    {MappingKind::kService, "require_key", ValueType::kBoolean, 0, 0, false, "",
     [](E& e, const V& v) { e.service.policy.require_key = v.flag; }},
    {MappingKind::kService, "resume_by_range", ValueType::kBoolean, 0, 0, false, "",
     [](E& e, const V& v) { e.service.policy.resume_by_range = v.flag; }},

    {MappingKind::kUpstream, "name", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.upstream.upstream.id.value = v.text; }},
    {MappingKind::kUpstream, "service", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.upstream.service.value = v.text; }},
    {MappingKind::kUpstream, "address", ValueType::kAddress, 0, 0, true, "",
     [](E& e, const V& v) { e.upstream.upstream.address = v.text; }},
    {MappingKind::kUpstream, "data_centre", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.upstream.upstream.data_centre.value = v.text; }},
    {MappingKind::kUpstream, "slots", ValueType::kInteger, 1, 10000, false, "",
     [](E& e, const V& v) { e.upstream.upstream.slots = ToUint32(v); }},
    {MappingKind::kUpstream, "max_connections", ValueType::kInteger, 1, 100000, false, "",
     [](E& e, const V& v) { e.upstream.upstream.max_connections = ToUint32(v); }},

    {MappingKind::kRoute, "host", ValueType::kHost, 1, kMaxHostBytes, true, "",
     [](E& e, const V& v) { e.route.key.host = v.text; }},
    {MappingKind::kRoute, "path_prefix", ValueType::kPath, 1, kMaxPathBytes, true, "",
     [](E& e, const V& v) { e.route.key.path_prefix = v.text; }},
    {MappingKind::kRoute, "method", ValueType::kMethod, 1, kMaxMethodBytes, false, "",
     [](E& e, const V& v) { e.route.key.method = v.text; }},
    {MappingKind::kRoute, "service", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.route.service.value = v.text; }},
    {MappingKind::kRoute, "repeatable", ValueType::kBoolean, 0, 0, false, "",
     [](E& e, const V& v) { e.route.repeatable = v.flag; }},

    {MappingKind::kRouteKey, "host", ValueType::kHost, 1, kMaxHostBytes, true, "",
     [](E& e, const V& v) { e.route.key.host = v.text; }},
    {MappingKind::kRouteKey, "path_prefix", ValueType::kPath, 1, kMaxPathBytes, true, "",
     [](E& e, const V& v) { e.route.key.path_prefix = v.text; }},
    {MappingKind::kRouteKey, "method", ValueType::kMethod, 1, kMaxMethodBytes, false, "",
     [](E& e, const V& v) { e.route.key.method = v.text; }},

    {MappingKind::kAccount, "name", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.account.id.value = v.text; }},
    {MappingKind::kAccount, "rate", ValueType::kNumber, 0, 1000000, false, "",
     [](E& e, const V& v) { e.account.rate = v.number; }},
    {MappingKind::kAccount, "burst", ValueType::kNumber, 0, 1000000, false, "",
     [](E& e, const V& v) { e.account.burst = v.number; }},
}};
// clang-format on

std::string FormatLimit(double limit) {
  std::ostringstream text;
  text.precision(16);
  text << limit;
  return text.str();
}

std::string FormatRange(const NoteKey& key) {
  return FormatLimit(key.minimum) + " to " + FormatLimit(key.maximum);
}

}  // namespace

std::span<const NoteKey> NoteKeys() {
  return kNoteKeys;
}

const NoteKey* FindNoteKey(MappingKind mapping, std::string_view name) {
  for (const NoteKey& key : kNoteKeys) {
    if (key.mapping == mapping && key.name == name)
      return &key;
  }
  return nullptr;
}

std::string AcceptedKeyNames(MappingKind mapping) {
  std::string names;
  for (const NoteKey& key : kNoteKeys) {
    if (key.mapping != mapping)
      continue;
    if (!names.empty())
      names += ", ";
    names += key.name;
  }
  return names;
}

std::string DescribeAcceptedValues(const NoteKey& key) {
  switch (key.type) {
    case ValueType::kNested:
      return "a mapping or list";
    case ValueType::kText:
      return "text of " + FormatRange(key) + " bytes";
    case ValueType::kName:
      return FormatRange(key) + " letters, digits, '.', '_' or '-'";
    case ValueType::kAddress:
      return "IP:port, for example 10.0.0.5:8080 or [fd00::5]:8080";
    case ValueType::kHost:
      return "a lower-case host name without port";
    case ValueType::kPath:
      return "a path that starts with '/', has no '?', '#', '%' or space, no "
             "'.' or '..' segment and is not below /.poplarfork";
    case ValueType::kMethod:
      return "an upper-case HTTP method";
    case ValueType::kInteger:
      return "an integer from " + FormatRange(key);
    case ValueType::kNumber:
      return "a number from " + FormatRange(key);
    case ValueType::kBoolean:
      return "true or false";
    case ValueType::kChoice:
      return "one of: " + std::string(key.choices);
  }
  return "";
}

}  // namespace poplarfork::note
