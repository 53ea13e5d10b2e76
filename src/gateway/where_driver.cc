#include "gateway/where_driver.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "clock/now_func.h"
#include "dispatch/explain_func.h"
#include "fleet/client_account_func.h"
#include "fleet/configuration_func.h"
#include "fleet/shard_func.h"
#include "fleet/view_func.h"
#include "gateway/response_func.h"
#include "gateway/shutdown.h"
#include "gateway/where_format_func.h"
#include "platform/configuration_func.h"
#include "platform/request_func.h"
#include "request/fingerprint_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using Json = nlohmann::ordered_json;
using Parameters = std::map<std::string, std::string>;

constexpr std::array<std::string_view, 7> kParameterNames = {
    "method", "path", "host", "account", "from", "service", "shard"};

// A caller's request as described by the query.
struct WhereQuery {
  std::string method;
  std::string path;
  std::string host;
  base::AccountId account;
  // Gateway that receives the request, and its data centre.
  base::DaemonId from;
  base::DataCentreId data_centre;
  // The only shard that is asked about.
  std::optional<fleet::Shard> shard;
};

// Route, account and priority with which a request is sent.
struct Admission {
  const fleet::Route* route = nullptr;
  const fleet::ClientAccount* account = nullptr;
};

std::optional<fleet::Shard> ParseShard(const std::string& service,
                                       std::string_view text) {
  fleet::Shard shard{{service}, 0, 0};
  const char* end = text.data() + text.size();
  const auto index = std::from_chars(text.data(), end, shard.index);
  if (index.ec != std::errc() || index.ptr == end || *index.ptr != '/')
    return std::nullopt;
  const auto count = std::from_chars(index.ptr + 1, end, shard.count);
  if (count.ec != std::errc() || count.ptr != end || service.empty() ||
      shard.index >= shard.count)
    return std::nullopt;
  return shard;
}

// Parses the query. Returns the reason why it is invalid, or null.
const char* ParseWhereQuery(const Gateway& gateway,
                            Parameters parameters,
                            WhereQuery& query) {
  for (const auto& [name, value] : parameters) {
    if (std::ranges::find(kParameterNames, name) == kParameterNames.end())
      return "unknown_parameter";
  }
  query.method = parameters["method"];
  query.path = parameters["path"];
  query.host = parameters["host"];
  query.account = {parameters["account"]};
  if (query.method.empty())
    return "method_missing";
  if (!query.path.starts_with('/'))
    return "path_invalid";
  query.from = gateway.view.self;
  if (!parameters["from"].empty())
    query.from = {parameters["from"]};
  const auto member = gateway.view.members.find(query.from);
  if (member == gateway.view.members.end())
    return "unknown_gateway";
  query.data_centre = member->second.member.data_centre;
  if (!parameters["shard"].empty() || !parameters["service"].empty()) {
    query.shard = ParseShard(parameters["service"], parameters["shard"]);
    if (!query.shard)
      return "shard_invalid";
  }
  return nullptr;
}

// Returns the outcome of a request that is refused before a dispatcher is
// asked, or null.
Json FindRejection(const Gateway& gateway,
                   const WhereQuery& query,
                   const Admission& admission) {
  if (!gateway.configuration)
    return FormatRejection(503, "no_configuration");
  if (!admission.route)
    return FormatRejection(404, "no_route");
  const base::TimePoint now = clock::Now();
  if (gateway.configuration->has_accounts && !admission.account &&
      !admission.route->is_public)
    return FormatRejection(
        401, fleet::AccountResultName(fleet::AccountResult::kKeyMissing));
  // The rest depends on the gateway that receives the request.
  if (query.from != gateway.view.self)
    return nullptr;
  if (admission.account &&
      !fleet::MayDecideOnKeys(gateway.freshness.confirmed_at,
                              gateway.settings.strict_key_revocation,
                              gateway.settings.key_revocation_limit, now))
    return FormatRejection(503, "keys_not_confirmed");
  if (!CanFinishRequest(gateway, now + admission.route->timeout))
    return FormatRejection(503, "draining");
  return nullptr;
}

dispatch::SlotRequest MakeWhereSlotRequest(const WhereQuery& query,
                                           const Admission& admission,
                                           const fleet::Shard& shard) {
  const fleet::Route& route = *admission.route;
  dispatch::SlotRequest slot_request;
  slot_request.shard_index = shard.index;
  slot_request.shard_count = shard.count;
  slot_request.work_class = {shard.service, route.repeatable, route.priority};
  if (admission.account)
    slot_request.account = admission.account->id;
  slot_request.priority = fleet::EffectivePriority(route, admission.account);
  slot_request.until_late = route.latency_objective;
  slot_request.until_deadline = route.timeout;
  slot_request.data_centre = query.data_centre;
  return slot_request;
}

Json FormatShard(const Gateway& gateway,
                 const WhereQuery& query,
                 const Admission& admission,
                 const fleet::Shard& shard) {
  const base::TimePoint now = clock::Now();
  const base::DaemonId dispatcher =
      fleet::RankMembers(gateway.view, fleet::DispatcherKey(shard), 1, now)
          .front();
  const auto member = gateway.view.members.find(dispatcher);
  const bool is_dispatcher = dispatcher == gateway.view.self;
  Json json = {{"shard", shard.index},
               {"shards", shard.count},
               {"dispatcher", dispatcher.value},
               {"dispatcher_control_address",
                member == gateway.view.members.end()
                    ? ""
                    : member->second.member.control_address},
               {"is_dispatcher", is_dispatcher}};
  json["explanation"] =
      is_dispatcher ? FormatExplanation(dispatch::ExplainSlotRequest(
                          gateway.dispatcher, query.from,
                          MakeWhereSlotRequest(query, admission, shard), now))
                    : Json(nullptr);
  return json;
}

// Formats the shards of a service in the order in which their dispatchers are
// asked. The body of the request, on which the order depends, is taken to be
// empty.
Json FormatShards(const Gateway& gateway,
                  const WhereQuery& query,
                  const Admission& admission,
                  const base::ServiceId& service) {
  Json shards = Json::array();
  if (query.shard) {
    shards.push_back(FormatShard(gateway, query, admission, *query.shard));
    return shards;
  }
  const fleet::ShardSlots slots =
      fleet::ComputeShardSlots(gateway.view, service);
  const std::uint64_t fingerprint =
      request::ComputeFingerprints("", query.method, query.path, "")
          .family.value;
  const auto count = static_cast<std::uint32_t>(slots.size());
  const std::uint32_t first = fleet::ChooseShard(slots, fingerprint, nullptr);
  shards.push_back(
      FormatShard(gateway, query, admission, {service, first, count}));
  if (count > 1)
    shards.push_back(FormatShard(
        gateway, query, admission,
        {service, fleet::ChooseShard(slots, fingerprint, &first), count}));
  return shards;
}

Json FormatServices(const Gateway& gateway,
                    const WhereQuery& query,
                    const Admission& admission) {
  double total = 0;
  for (const fleet::RouteTarget& target : admission.route->targets)
    total += target.weight;
  Json services = Json::array();
  for (const fleet::RouteTarget& target : admission.route->targets) {
    if (query.shard && query.shard->service != target.service)
      continue;
    services.push_back(
        {{"service", target.service.value},
         {"share", target.weight / total},
         {"shards", FormatShards(gateway, query, admission, target.service)}});
  }
  return services;
}

Json FormatAnswer(const Gateway& gateway,
                  const WhereQuery& query,
                  const Admission& admission) {
  Json json = {{"gateway", gateway.view.self.value}};
  json["configuration"] = gateway.configuration
                              ? Json(gateway.configuration->version.value)
                              : Json(nullptr);
  json["route"] = nullptr;
  json["account"] = nullptr;
  json["priority"] = nullptr;
  if (admission.route) {
    json["route"] = {{"name", admission.route->name},
                     {"class", platform::RouteTypeName(*admission.route)},
                     {"public", admission.route->is_public}};
    json["priority"] =
        fleet::EffectivePriority(*admission.route, admission.account);
  }
  if (admission.account)
    json["account"] = admission.account->id.value;
  json["outcome"] = FindRejection(gateway, query, admission);
  json["services"] = json["outcome"].is_null()
                         ? FormatServices(gateway, query, admission)
                         : Json::array();
  return json;
}

}  // namespace

edge::HttpResponse HandleWhereRequest(const Gateway& gateway,
                                      const edge::HttpRequest& request) {
  if (request.method() != http::verb::get)
    return MakeProblemResponse(http::status::method_not_allowed,
                               "method_not_allowed");
  WhereQuery query;
  const auto target = request.target();
  const char* error = ParseWhereQuery(
      gateway, platform::ParseQuery({target.data(), target.size()}), query);
  if (error)
    return MakeProblemResponse(http::status::bad_request, error);
  Admission admission;
  if (gateway.configuration) {
    admission.route =
        fleet::FindRoute(*gateway.configuration, query.host, query.path);
    const auto& accounts = gateway.configuration->accounts;
    const auto account = accounts.find(query.account);
    if (account != accounts.end())
      admission.account = &account->second;
    else if (!query.account.value.empty())
      return MakeProblemResponse(http::status::bad_request, "unknown_account");
  }
  edge::HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  // Texts of the operator's configuration may be no valid UTF-8.
  response.body() = FormatAnswer(gateway, query, admission)
                        .dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

}  // namespace poplarfork::gateway
