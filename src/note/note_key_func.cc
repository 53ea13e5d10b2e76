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
    {NoteItem::kNote, "id", ValueType::kName, 1, kMaxNameBytes, false, "",
     [](E& e, const V& v) { e.note.id.value = v.text; }},
    {NoteItem::kNote, "author", ValueType::kText, 1, kMaxTextBytes, false, "",
     [](E& e, const V& v) { e.note.author = v.text; }},
    {NoteItem::kNote, "title", ValueType::kText, 0, kMaxTextBytes, false, "",
     [](E& e, const V& v) { e.note.title = v.text; }},
    {NoteItem::kNote, "base_revision", ValueType::kInteger, 0, kMaxRevision, false, "",
     [](E& e, const V& v) {
       e.note.base_revision = base::Revision{static_cast<std::uint64_t>(v.number)};
     }},
    {NoteItem::kNote, "add", ValueType::kNested, 0, 0, false, "", nullptr},
    {NoteItem::kNote, "change", ValueType::kNested, 0, 0, false, "", nullptr},
    {NoteItem::kNote, "withdraw", ValueType::kNested, 0, 0, false, "", nullptr},

    {NoteItem::kSection, "services", ValueType::kNested, 0, 0, false, "", nullptr},
    {NoteItem::kSection, "upstreams", ValueType::kNested, 0, 0, false, "", nullptr},
    {NoteItem::kSection, "routes", ValueType::kNested, 0, 0, false, "", nullptr},
    {NoteItem::kSection, "accounts", ValueType::kNested, 0, 0, false, "", nullptr},

    {NoteItem::kService, "name", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.service.id.value = v.text; }},
    {NoteItem::kService, "detection", ValueType::kChoice, 0, 0, false, "detection-fast ejection-sure",
     [](E& e, const V& v) { e.service.policy.detection = ParseDetection(v.text); }},
    {NoteItem::kService, "urgency", ValueType::kChoice, 0, 0, false, "urgent normal bulk",
     [](E& e, const V& v) { e.service.policy.urgency = ParseUrgency(v.text); }},
    {NoteItem::kService, "floor", ValueType::kNumber, 0, 1, false, "",
     [](E& e, const V& v) { e.service.policy.floor = v.number; }},
    {NoteItem::kService, "deadline_ms", ValueType::kInteger, 10, 600000, false, "",
     [](E& e, const V& v) { e.service.policy.deadline = ToMilliseconds(v); }},
    {NoteItem::kService, "retry_ratio", ValueType::kNumber, 0, 1, false, "",
     [](E& e, const V& v) { e.service.policy.retry_ratio = v.number; }},
    {NoteItem::kService, "max_in_flight", ValueType::kInteger, 1, 100000, false, "",
     [](E& e, const V& v) { e.service.policy.max_in_flight = ToUint32(v); }},
    {NoteItem::kService, "require_key", ValueType::kBoolean, 0, 0, false, "",
     [](E& e, const V& v) { e.service.policy.require_key = v.flag; }},
    {NoteItem::kService, "resume_by_range", ValueType::kBoolean, 0, 0, false, "",
     [](E& e, const V& v) { e.service.policy.resume_by_range = v.flag; }},

    {NoteItem::kUpstream, "name", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.upstream.upstream.id.value = v.text; }},
    {NoteItem::kUpstream, "service", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.upstream.service.value = v.text; }},
    {NoteItem::kUpstream, "address", ValueType::kAddress, 0, 0, true, "",
     [](E& e, const V& v) { e.upstream.upstream.address = v.text; }},
    {NoteItem::kUpstream, "data_centre", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.upstream.upstream.data_centre.value = v.text; }},
    {NoteItem::kUpstream, "slots", ValueType::kInteger, 1, 10000, false, "",
     [](E& e, const V& v) { e.upstream.upstream.slots = ToUint32(v); }},
    {NoteItem::kUpstream, "max_connections", ValueType::kInteger, 1, 100000, false, "",
     [](E& e, const V& v) { e.upstream.upstream.max_connections = ToUint32(v); }},

    {NoteItem::kRoute, "host", ValueType::kHost, 1, kMaxHostBytes, true, "",
     [](E& e, const V& v) { e.route.key.host = v.text; }},
    {NoteItem::kRoute, "path_prefix", ValueType::kPath, 1, kMaxPathBytes, true, "",
     [](E& e, const V& v) { e.route.key.path_prefix = v.text; }},
    {NoteItem::kRoute, "method", ValueType::kMethod, 1, kMaxMethodBytes, false, "",
     [](E& e, const V& v) { e.route.key.method = v.text; }},
    {NoteItem::kRoute, "service", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.route.service.value = v.text; }},
    {NoteItem::kRoute, "repeatable", ValueType::kBoolean, 0, 0, false, "",
     [](E& e, const V& v) { e.route.repeatable = v.flag; }},

    {NoteItem::kRouteKey, "host", ValueType::kHost, 1, kMaxHostBytes, true, "",
     [](E& e, const V& v) { e.route.key.host = v.text; }},
    {NoteItem::kRouteKey, "path_prefix", ValueType::kPath, 1, kMaxPathBytes, true, "",
     [](E& e, const V& v) { e.route.key.path_prefix = v.text; }},
    {NoteItem::kRouteKey, "method", ValueType::kMethod, 1, kMaxMethodBytes, false, "",
     [](E& e, const V& v) { e.route.key.method = v.text; }},

    {NoteItem::kAccount, "name", ValueType::kName, 1, kMaxNameBytes, true, "",
     [](E& e, const V& v) { e.account.id.value = v.text; }},
    {NoteItem::kAccount, "rate", ValueType::kNumber, 0, 1000000, false, "",
     [](E& e, const V& v) { e.account.rate = v.number; }},
    {NoteItem::kAccount, "burst", ValueType::kNumber, 0, 1000000, false, "",
     [](E& e, const V& v) { e.account.burst = v.number; }},
}};
// clang-format on

std::string FormatLimit(double limit) {
  std::ostringstream text;
  text.precision(16);
  text << limit;
  return text.str();
}

std::string Between(const NoteKey& key) {
  return FormatLimit(key.minimum) + " to " + FormatLimit(key.maximum);
}

}  // namespace

std::span<const NoteKey> NoteKeys() {
  return kNoteKeys;
}

const NoteKey* FindNoteKey(NoteItem item, std::string_view name) {
  for (const NoteKey& key : kNoteKeys) {
    if (key.item == item && key.name == name)
      return &key;
  }
  return nullptr;
}

std::string AcceptedKeys(NoteItem item) {
  std::string names;
  for (const NoteKey& key : kNoteKeys) {
    if (key.item != item)
      continue;
    if (!names.empty())
      names += ", ";
    names += key.name;
  }
  return names;
}

std::string AcceptedValues(const NoteKey& key) {
  switch (key.type) {
    case ValueType::kNested:
      return "a mapping or list";
    case ValueType::kText:
      return "text of " + Between(key) + " bytes";
    case ValueType::kName:
      return Between(key) + " letters, digits, '.', '_' or '-'";
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
      return "an integer from " + Between(key);
    case ValueType::kNumber:
      return "a number from " + Between(key);
    case ValueType::kBoolean:
      return "true or false";
    case ValueType::kChoice:
      return "one of: " + std::string(key.choices);
  }
  return "";
}

}  // namespace poplarfork::note
