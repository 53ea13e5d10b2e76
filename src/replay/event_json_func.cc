#include "replay/event_json_func.h"

#include <array>
#include <cstdint>
#include <string>

#include "base/error_func.h"
#include "health/name_func.h"

namespace poplarfork::replay {

namespace {

using web::json::value;

value Text(const std::string& text) {
  return value::string(text);
}

value Number(std::uint64_t number) {
  return value::number(number);
}

value Micros(base::Duration duration) {
  return value::number(static_cast<std::int64_t>(duration.count()));
}

std::string TextAt(const value& json, const char* key) {
  return json.at(key).as_string();
}

std::uint64_t NumberAt(const value& json, const char* key) {
  return json.at(key).as_number().to_uint64();
}

std::uint32_t SmallAt(const value& json, const char* key) {
  return json.at(key).as_number().to_uint32();
}

base::Duration MicrosAt(const value& json, const char* key) {
  return base::Duration(json.at(key).as_number().to_int64());
}

template <class Items, class Convert>
value ArrayOf(const Items& items, Convert convert) {
  std::vector<value> values;
  values.reserve(items.size());
  for (const auto& item : items)
    values.push_back(convert(item));
  return value::array(values);
}

value EntryToJson(const health::LedgerEntry& entry) {
  value json;
  json["upstream"] = Text(entry.upstream.value);
  json["slots"] = Number(entry.slots);
  json["hold_us"] = Micros(entry.hold_down);
  json["sequence"] = Number(entry.sequence);
  return json;
}

std::vector<health::LedgerEntry> EntriesFromJson(const value& json) {
  std::vector<health::LedgerEntry> entries;
  for (const value& item : json.as_array()) {
    entries.push_back({{TextAt(item, "upstream")},
                       SmallAt(item, "slots"),
                       MicrosAt(item, "hold_us"),
                       NumberAt(item, "sequence")});
  }
  return entries;
}

value LedgerToJson(const health::Ledger& ledger) {
  value json;
  json["service"] = Text(ledger.service.value);
  json["version"] = Number(ledger.version);
  json["next_sequence"] = Number(ledger.next_sequence);
  json["ejected"] = ArrayOf(ledger.ejected, EntryToJson);
  json["removed"] = ArrayOf(ledger.removed, EntryToJson);
  return json;
}

health::Ledger LedgerFromJson(const value& json) {
  health::Ledger ledger;
  ledger.service = {TextAt(json, "service")};
  ledger.version = NumberAt(json, "version");
  ledger.next_sequence = NumberAt(json, "next_sequence");
  ledger.ejected = EntriesFromJson(json.at("ejected"));
  ledger.removed = EntriesFromJson(json.at("removed"));
  return ledger;
}

value ItemToJson(const health::ReportItem& item) {
  value json;
  json["upstream"] = Text(item.upstream.value);
  json["failures"] = Number(item.failures);
  json["slow"] = Number(item.slow);
  json["avoiding"] = value::boolean(item.avoiding);
  return json;
}

value LossToJson(const health::ConnectionLoss& loss) {
  value json;
  json["fingerprint"] = Number(loss.fingerprint);
  json["upstream"] = Text(loss.upstream.value);
  return json;
}

value ToJson(const health::RequestStarted& event) {
  value json;
  json["request"] = Number(event.request_number);
  json["upstream"] = Text(event.upstream.value);
  json["fingerprint"] = Number(event.fingerprint);
  json["reused"] = value::boolean(event.reused_connection);
  return json;
}

value ToJson(const health::RequestFinished& event) {
  value json;
  json["request"] = Number(event.request_number);
  json["upstream"] = Text(event.upstream.value);
  json["outcome"] = Text(std::string(health::NameOf(event.outcome)));
  json["latency_us"] = Micros(event.latency);
  json["reused"] = value::boolean(event.reused_connection);
  json["fingerprint"] = Number(event.fingerprint);
  return json;
}

value ToJson(const health::Tick& event) {
  value json;
  json["lateness_us"] = Micros(event.loop_lateness);
  return json;
}

value ToJson(const health::ProbeFinished& event) {
  value json;
  json["upstream"] = Text(event.upstream.value);
  json["passed"] = value::boolean(event.passed);
  json["latency_us"] = Micros(event.latency);
  return json;
}

value ToJson(const health::ServiceChanged& event) {
  value json;
  json["service"] = ServiceToJson(event.service);
  return json;
}

value ToJson(const health::DrainChanged& event) {
  value json;
  json["upstream"] = Text(event.upstream.value);
  json["draining"] = value::boolean(event.draining);
  return json;
}

value ToJson(const health::GroupChanged& event) {
  value json;
  json["members"] = ArrayOf(event.members, MemberToJson);
  return json;
}

value ToJson(const health::ReportReceived& event) {
  const health::HealthReport& report = event.report;
  value json;
  json["service"] = Text(report.service.value);
  json["observer"] = Text(report.observer.value);
  json["data_centre"] = Text(report.data_centre.value);
  json["request_rate"] = value::number(report.request_rate);
  json["items"] = ArrayOf(report.items, ItemToJson);
  json["losses"] = ArrayOf(report.losses, LossToJson);
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
  json["fingerprint"] = Number(event.fingerprint);
  return json;
}

value ToJson(const health::ObserverSuspected& /*event*/) {
  return value::object();
}

health::Event StartedFrom(const value& json) {
  return health::RequestStarted{NumberAt(json, "request"),
                                {TextAt(json, "upstream")},
                                NumberAt(json, "fingerprint"),
                                json.at("reused").as_bool()};
}

health::Event FinishedFrom(const value& json) {
  const auto outcome = health::ParseRequestOutcome(TextAt(json, "outcome"));
  if (!outcome)
    throw web::json::json_exception("the request outcome is unknown");
  return health::RequestFinished{NumberAt(json, "request"),
                                 {TextAt(json, "upstream")},
                                 *outcome,
                                 MicrosAt(json, "latency_us"),
                                 json.at("reused").as_bool(),
                                 NumberAt(json, "fingerprint")};
}

health::Event TickFrom(const value& json) {
  return health::Tick{MicrosAt(json, "lateness_us")};
}

health::Event ProbeFrom(const value& json) {
  return health::ProbeFinished{{TextAt(json, "upstream")},
                               json.at("passed").as_bool(),
                               MicrosAt(json, "latency_us")};
}

health::Event ServiceFrom(const value& json) {
  return health::ServiceChanged{ServiceFromJson(json.at("service"))};
}

health::Event DrainFrom(const value& json) {
  return health::DrainChanged{{TextAt(json, "upstream")},
                              json.at("draining").as_bool()};
}

health::Event GroupFrom(const value& json) {
  health::GroupChanged event;
  for (const value& member : json.at("members").as_array())
    event.members.push_back(MemberFromJson(member));
  return event;
}

health::Event ReportFrom(const value& json) {
  health::HealthReport report;
  report.service = {TextAt(json, "service")};
  report.observer = {TextAt(json, "observer")};
  report.data_centre = {TextAt(json, "data_centre")};
  report.request_rate = json.at("request_rate").as_double();
  for (const value& item : json.at("items").as_array()) {
    report.items.push_back({{TextAt(item, "upstream")},
                            SmallAt(item, "failures"),
                            SmallAt(item, "slow"),
                            item.at("avoiding").as_bool()});
  }
  for (const value& loss : json.at("losses").as_array()) {
    report.losses.push_back(
        {NumberAt(loss, "fingerprint"), {TextAt(loss, "upstream")}});
  }
  return health::ReportReceived{report};
}

health::Event LedgerFrom(const value& json) {
  return health::LedgerReceived{LedgerFromJson(json.at("ledger")),
                                json.at("from_store").as_bool()};
}

health::Event WriteFrom(const value& json) {
  return health::LedgerWriteFinished{json.at("succeeded").as_bool(),
                                     LedgerFromJson(json.at("ledger"))};
}

health::Event CrashFrom(const value& json) {
  return health::CrashAnnounced{NumberAt(json, "fingerprint")};
}

health::Event ObserverFrom(const value& /*json*/) {
  return health::ObserverSuspected{};
}

// The name of an event in a trace and the function that parses the event.
struct EventName {
  const char* name;
  health::Event (*read)(const value& json);
};

// The entries are in the order of the alternatives of `health::Event`, because
// `EventToJson` looks up the name by the index of the alternative.
constexpr std::array<EventName, 12> kEventNames = {{
    {"started", StartedFrom},
    {"finished", FinishedFrom},
    {"tick", TickFrom},
    {"probe", ProbeFrom},
    {"service", ServiceFrom},
    {"drain", DrainFrom},
    {"group", GroupFrom},
    {"report", ReportFrom},
    {"ledger", LedgerFrom},
    {"ledger_write", WriteFrom},
    {"crash", CrashFrom},
    {"observer", ObserverFrom},
}};

}  // namespace

web::json::value EventToJson(const health::Event& event) {
  value json = std::visit([](const auto& one) { return ToJson(one); }, event);
  json["event"] = Text(kEventNames.at(event.index()).name);
  return json;
}

base::Result<health::Event> EventFromJson(const web::json::value& json) {
  try {
    const std::string name = TextAt(json, "event");
    for (const EventName& entry : kEventNames) {
      if (name == entry.name)
        return entry.read(json);
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
  json["id"] = Text(service.id.value);
  json["fast"] = value::boolean(service.policy.detection ==
                                note::DetectionPolicy::kDetectionFast);
  json["floor"] = value::number(service.policy.floor);
  std::vector<value> upstreams;
  for (const auto& [id, upstream] : service.upstreams) {
    value item;
    item["id"] = Text(id.value);
    item["data_centre"] = Text(upstream.data_centre.value);
    item["slots"] = Number(upstream.slots);
    upstreams.push_back(item);
  }
  json["upstreams"] = value::array(upstreams);
  return json;
}

note::Service ServiceFromJson(const web::json::value& json) {
  note::Service service;
  service.id = {TextAt(json, "id")};
  service.policy.detection = json.at("fast").as_bool()
                                 ? note::DetectionPolicy::kDetectionFast
                                 : note::DetectionPolicy::kEjectionSure;
  service.policy.floor = json.at("floor").as_double();
  for (const value& item : json.at("upstreams").as_array()) {
    note::Upstream upstream;
    upstream.id = {TextAt(item, "id")};
    upstream.data_centre = {TextAt(item, "data_centre")};
    upstream.slots = SmallAt(item, "slots");
    service.upstreams[upstream.id] = upstream;
  }
  return service;
}

web::json::value MemberToJson(const health::GroupMember& member) {
  value json;
  json["daemon"] = Text(member.daemon.value);
  json["data_centre"] = Text(member.data_centre.value);
  return json;
}

health::GroupMember MemberFromJson(const web::json::value& json) {
  return {{TextAt(json, "daemon")}, {TextAt(json, "data_centre")}};
}

}  // namespace poplarfork::replay
