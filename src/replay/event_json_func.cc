#include "replay/event_json_func.h"

#include <array>
#include <cstdint>
#include <string>

#include "base/error_func.h"
#include "health/name_func.h"

namespace poplarfork::replay {

namespace {

using web::json::value;

value StringToJson(const std::string& text) {
  return value::string(text);
}

value UnsignedToJson(std::uint64_t number) {
  return value::number(number);
}

value DurationToJson(base::Duration duration) {
  return value::number(static_cast<std::int64_t>(duration.count()));
}

std::string GetString(const value& json, const char* key) {
  return json.at(key).as_string();
}

std::uint64_t GetUint64(const value& json, const char* key) {
  return json.at(key).as_number().to_uint64();
}

std::uint32_t GetUint32(const value& json, const char* key) {
  return json.at(key).as_number().to_uint32();
}

base::Duration GetDuration(const value& json, const char* key) {
  return base::Duration(json.at(key).as_number().to_int64());
}

template <class Items, class Convert>
value ArrayToJson(const Items& items, Convert convert) {
  std::vector<value> values;
  values.reserve(items.size());
  for (const auto& item : items)
    values.push_back(convert(item));
  return value::array(values);
}

value EntryToJson(const health::LedgerEntry& entry) {
  value json;
  json["upstream"] = StringToJson(entry.upstream.value);
  json["slots"] = UnsignedToJson(entry.slots);
  json["hold_us"] = DurationToJson(entry.hold_down);
  json["sequence"] = UnsignedToJson(entry.sequence);
  return json;
}

std::vector<health::LedgerEntry> EntriesFromJson(const value& json) {
  std::vector<health::LedgerEntry> entries;
  for (const value& item : json.as_array()) {
    entries.push_back({{GetString(item, "upstream")},
                       GetUint32(item, "slots"),
                       GetDuration(item, "hold_us"),
                       GetUint64(item, "sequence")});
  }
  return entries;
}

value LedgerToJson(const health::Ledger& ledger) {
  value json;
  json["service"] = StringToJson(ledger.service.value);
  json["version"] = UnsignedToJson(ledger.version);
  json["next_sequence"] = UnsignedToJson(ledger.next_sequence);
  json["ejected"] = ArrayToJson(ledger.ejected, EntryToJson);
  json["removed"] = ArrayToJson(ledger.removed, EntryToJson);
  return json;
}

health::Ledger LedgerFromJson(const value& json) {
  health::Ledger ledger;
  ledger.service = {GetString(json, "service")};
  ledger.version = GetUint64(json, "version");
  ledger.next_sequence = GetUint64(json, "next_sequence");
  ledger.ejected = EntriesFromJson(json.at("ejected"));
  ledger.removed = EntriesFromJson(json.at("removed"));
  return ledger;
}

value ReportItemToJson(const health::ReportItem& item) {
  value json;
  json["upstream"] = StringToJson(item.upstream.value);
  json["failures"] = UnsignedToJson(item.failures);
  json["slow"] = UnsignedToJson(item.slow);
  json["avoiding"] = value::boolean(item.avoiding);
  return json;
}

value ConnectionLossToJson(const health::ConnectionLoss& loss) {
  value json;
  json["fingerprint"] = UnsignedToJson(loss.fingerprint);
  json["upstream"] = StringToJson(loss.upstream.value);
  return json;
}

value ToJson(const health::RequestStarted& event) {
  value json;
  json["request"] = UnsignedToJson(event.request_number);
  json["upstream"] = StringToJson(event.upstream.value);
  json["fingerprint"] = UnsignedToJson(event.fingerprint);
  json["reused"] = value::boolean(event.reused_connection);
  return json;
}

value ToJson(const health::RequestFinished& event) {
  value json;
  json["request"] = UnsignedToJson(event.request_number);
  json["upstream"] = StringToJson(event.upstream.value);
  json["outcome"] = StringToJson(std::string(health::ToName(event.outcome)));
  json["latency_us"] = DurationToJson(event.latency);
  json["reused"] = value::boolean(event.reused_connection);
  json["fingerprint"] = UnsignedToJson(event.fingerprint);
  return json;
}

value ToJson(const health::Tick& event) {
  value json;
  json["lateness_us"] = DurationToJson(event.loop_lateness);
  return json;
}

value ToJson(const health::ProbeFinished& event) {
  value json;
  json["upstream"] = StringToJson(event.upstream.value);
  json["passed"] = value::boolean(event.passed);
  json["latency_us"] = DurationToJson(event.latency);
  return json;
}

value ToJson(const health::ServiceChanged& event) {
  value json;
  json["service"] = ServiceToJson(event.service);
  return json;
}

value ToJson(const health::DrainChanged& event) {
  value json;
  json["upstream"] = StringToJson(event.upstream.value);
  json["draining"] = value::boolean(event.draining);
  return json;
}

value ToJson(const health::GroupChanged& event) {
  value json;
  json["members"] = ArrayToJson(event.members, MemberToJson);
  return json;
}

value ToJson(const health::ReportReceived& event) {
  const health::HealthReport& report = event.report;
  value json;
  json["service"] = StringToJson(report.service.value);
  json["observer"] = StringToJson(report.observer.value);
  json["data_centre"] = StringToJson(report.data_centre.value);
  json["request_rate"] = value::number(report.request_rate);
  json["items"] = ArrayToJson(report.items, ReportItemToJson);
  json["losses"] = ArrayToJson(report.losses, ConnectionLossToJson);
  return json;
}

value ToJson(const health::LedgerReceived& event) {
  value json;
  json["ledger"] = LedgerToJson(event.ledger);
  json["from_store"] = value::boolean(event.from_store);
  return json;
}

value ToJson(const health::LedgerWriteFinished& event) {
  value json;
  json["succeeded"] = value::boolean(event.succeeded);
  json["ledger"] = LedgerToJson(event.ledger);
  return json;
}

value ToJson(const health::CrashAnnounced& event) {
  value json;
  json["fingerprint"] = UnsignedToJson(event.fingerprint);
  return json;
}

value ToJson(const health::ObserverSuspected& /*event*/) {
  return value::object();
}

health::Event RequestStartedFromJson(const value& json) {
  return health::RequestStarted{GetUint64(json, "request"),
                                {GetString(json, "upstream")},
                                GetUint64(json, "fingerprint"),
                                json.at("reused").as_bool()};
}

health::Event RequestFinishedFromJson(const value& json) {
  const auto outcome = health::ParseRequestOutcome(GetString(json, "outcome"));
  if (!outcome)
    throw web::json::json_exception("the request outcome is unknown");
  return health::RequestFinished{GetUint64(json, "request"),
                                 {GetString(json, "upstream")},
                                 *outcome,
                                 GetDuration(json, "latency_us"),
                                 json.at("reused").as_bool(),
                                 GetUint64(json, "fingerprint")};
}

health::Event TickFromJson(const value& json) {
  return health::Tick{GetDuration(json, "lateness_us")};
}

health::Event ProbeFinishedFromJson(const value& json) {
  return health::ProbeFinished{{GetString(json, "upstream")},
                               json.at("passed").as_bool(),
                               GetDuration(json, "latency_us")};
}

health::Event ServiceChangedFromJson(const value& json) {
  return health::ServiceChanged{ServiceFromJson(json.at("service"))};
}

health::Event DrainChangedFromJson(const value& json) {
  return health::DrainChanged{{GetString(json, "upstream")},
                              json.at("draining").as_bool()};
}

health::Event GroupChangedFromJson(const value& json) {
  health::GroupChanged event;
  for (const value& member : json.at("members").as_array())
    event.members.push_back(MemberFromJson(member));
  return event;
}

health::Event ReportReceivedFromJson(const value& json) {
  health::HealthReport report;
  report.service = {GetString(json, "service")};
  report.observer = {GetString(json, "observer")};
  report.data_centre = {GetString(json, "data_centre")};
  report.request_rate = json.at("request_rate").as_double();
  for (const value& item : json.at("items").as_array()) {
    report.items.push_back({{GetString(item, "upstream")},
                            GetUint32(item, "failures"),
                            GetUint32(item, "slow"),
                            item.at("avoiding").as_bool()});
  }
  for (const value& loss : json.at("losses").as_array()) {
    report.losses.push_back(
        {GetUint64(loss, "fingerprint"), {GetString(loss, "upstream")}});
  }
  return health::ReportReceived{report};
}

health::Event LedgerReceivedFromJson(const value& json) {
  return health::LedgerReceived{LedgerFromJson(json.at("ledger")),
                                json.at("from_store").as_bool()};
}

health::Event LedgerWriteFinishedFromJson(const value& json) {
  return health::LedgerWriteFinished{json.at("succeeded").as_bool(),
                                     LedgerFromJson(json.at("ledger"))};
}

health::Event CrashAnnouncedFromJson(const value& json) {
  return health::CrashAnnounced{GetUint64(json, "fingerprint")};
}

health::Event ObserverSuspectedFromJson(const value& /*json*/) {
  return health::ObserverSuspected{};
}

// The name of an event in a trace and the function that parses the event.
struct EventFormat {
  const char* name;
  health::Event (*parse)(const value& json);
};

// The entries are in the order of the alternatives of `health::Event`, because
// `EventToJson` looks up the name by the index of the alternative.
constexpr std::array<EventFormat, 12> kEventFormats = {{
    {"started", RequestStartedFromJson},
    {"finished", RequestFinishedFromJson},
    {"tick", TickFromJson},
    {"probe", ProbeFinishedFromJson},
    {"service", ServiceChangedFromJson},
    {"drain", DrainChangedFromJson},
    {"group", GroupChangedFromJson},
    {"report", ReportReceivedFromJson},
    {"ledger", LedgerReceivedFromJson},
    {"ledger_write", LedgerWriteFinishedFromJson},
    {"crash", CrashAnnouncedFromJson},
    {"observer", ObserverSuspectedFromJson},
}};

}  // namespace

web::json::value EventToJson(const health::Event& event) {
  value json = std::visit(
      [](const auto& concrete_event) { return ToJson(concrete_event); }, event);
  json["event"] = StringToJson(kEventFormats.at(event.index()).name);
  return json;
}

base::Result<health::Event> EventFromJson(const web::json::value& json) {
  try {
    const std::string name = GetString(json, "event");
    for (const EventFormat& entry : kEventFormats) {
      if (name == entry.name)
        return entry.parse(json);
    }
    return base::MakeError(base::ErrorCode::kUnknownKey, base::Step::kReplay,
                           "", "event " + name + " does not exist");
  } catch (const web::json::json_exception& exception) {
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kReplay, "",
                           exception.what());
  }
}

web::json::value ServiceToJson(const note::Service& service) {
  value json;
  json["id"] = StringToJson(service.id.value);
  json["fast"] = value::boolean(service.policy.detection ==
                                note::DetectionPolicy::kFastDetection);
  json["floor"] = value::number(service.policy.floor);
  std::vector<value> upstreams;
  for (const auto& [id, upstream] : service.upstreams) {
    value item;
    item["id"] = StringToJson(id.value);
    item["data_centre"] = StringToJson(upstream.data_centre.value);
    item["slots"] = UnsignedToJson(upstream.slots);
    upstreams.push_back(item);
  }
  json["upstreams"] = value::array(upstreams);
  return json;
}

note::Service ServiceFromJson(const web::json::value& json) {
  note::Service service;
  service.id = {GetString(json, "id")};
  service.policy.detection = json.at("fast").as_bool()
                                 ? note::DetectionPolicy::kFastDetection
                                 : note::DetectionPolicy::kSureEjection;
  service.policy.floor = json.at("floor").as_double();
  for (const value& item : json.at("upstreams").as_array()) {
    note::Upstream upstream;
    upstream.id = {GetString(item, "id")};
    upstream.data_centre = {GetString(item, "data_centre")};
    upstream.slots = GetUint32(item, "slots");
    service.upstreams[upstream.id] = upstream;
  }
  return service;
}

web::json::value MemberToJson(const health::GroupMember& member) {
  value json;
  json["daemon"] = StringToJson(member.daemon.value);
  json["data_centre"] = StringToJson(member.data_centre.value);
  return json;
}

health::GroupMember MemberFromJson(const web::json::value& json) {
  return {{GetString(json, "daemon")}, {GetString(json, "data_centre")}};
}

}  // namespace poplarfork::replay
