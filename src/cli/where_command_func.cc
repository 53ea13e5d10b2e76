#include "cli/where_command_func.h"

#include <cpprest/base_uri.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cli/where_table_func.h"

namespace poplarfork::cli {

namespace {

using Json = nlohmann::ordered_json;

// A gateway responds from memory, so one that takes longer is not usable.
constexpr std::chrono::seconds kWhereTimeout(5);

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

using Parameters = std::vector<std::pair<std::string, std::string>>;

// The response of a gateway, or the reason why there is none.
struct WhereAnswer {
  Json json;
  ExitCode exit_code = ExitCode::kOk;
  std::string error;
};

std::string MakePath(const WhereOptions& where, const Parameters& extra) {
  Parameters parameters = {{"method", where.method}, {"path", where.path}};
  if (!where.host.empty())
    parameters.emplace_back("host", where.host);
  if (!where.account.empty())
    parameters.emplace_back("account", where.account);
  parameters.insert(parameters.end(), extra.begin(), extra.end());
  std::string path = "/where";
  char separator = '?';
  for (const auto& [name, value] : parameters) {
    path += separator + name + "=" + web::uri::encode_data_string(value);
    separator = '&';
  }
  return path;
}

// Returns the reason that a gateway states for a status of 400.
std::string DescribeBadRequest(const WhereOptions& where,
                               const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  const bool has_reason =
      json.is_object() && json.contains("reason") && json["reason"].is_string();
  const std::string reason =
      has_reason ? json["reason"].get<std::string>() : body;
  if (reason == "unknown_account")
    return "--account: the configuration has no account '" + where.account +
           "'";
  return "rejected the query: " + reason;
}

WhereAnswer AskGateway(const std::string& address,
                       const WhereOptions& where,
                       const Parameters& extra,
                       const Environment& environment) {
  AdminRequest request;
  request.daemon_address = address;
  request.path = MakePath(where, extra);
  request.timeout = kWhereTimeout;
  const AdminResponse response = environment.send_admin_request(request);
  WhereAnswer answer;
  const auto fail = [&](ExitCode exit_code, const std::string& detail) {
    answer.exit_code = exit_code;
    answer.error = "gateway " + address + ": " + detail + "\n";
    return answer;
  };
  if (response.status == AdminStatus::kNotReachable)
    return fail(ExitCode::kDaemonNotReachable,
                "accepts no connection: " + response.error_detail);
  if (response.status == AdminStatus::kNoResponse)
    return fail(ExitCode::kDaemonNotReachable,
                "no response within " + std::to_string(kWhereTimeout.count()) +
                    " s: " + response.error_detail);
  if (response.http_status == kHttpNotFound)
    return fail(ExitCode::kRejected,
                "is an older version that has no GET /where");
  if (response.http_status == kHttpBadRequest)
    return fail(ExitCode::kRejected, DescribeBadRequest(where, response.body));
  if (response.http_status != kHttpOk)
    return fail(ExitCode::kRejected, "responded with status " +
                                         std::to_string(response.http_status));
  answer.json = Json::parse(response.body, nullptr, false);
  try {
    // Reads all members, so that other JSON is recognized in both formats.
    FormatWhereTable(answer.json);
  } catch (const Json::exception& error) {
    return fail(
        ExitCode::kRejected,
        std::string("the response is not that of GET /where: ") + error.what());
  }
  return answer;
}

// Asks the dispatcher of a shard and stores its explanation, or the reason why
// there is none, in `shard`.
void ExplainShard(const Options& options,
                  const Environment& environment,
                  const std::string& gateway_id,
                  const std::string& service,
                  Json& shard,
                  CommandResult& result) {
  const auto address =
      shard.at("dispatcher_control_address").get<std::string>();
  WhereAnswer answer;
  if (address.empty()) {
    answer.exit_code = ExitCode::kDaemonNotReachable;
    answer.error = "the dispatcher's control address is not known\n";
  } else {
    answer = AskGateway(
        address, options.where,
        {{"from", gateway_id},
         {"service", service},
         {"shard", shard.at("shard").dump() + "/" + shard.at("shards").dump()}},
        environment);
  }
  if (answer.exit_code == ExitCode::kOk) {
    const Json& services = answer.json.at("services");
    if (!services.empty() && !services[0].at("shards").empty())
      shard["explanation"] = services[0]["shards"][0].at("explanation");
    if (!shard["explanation"].is_null())
      return;
    answer.exit_code = ExitCode::kRejected;
    answer.error = "gateway " + address +
                   ": does not dispatch the shard, or has another "
                   "configuration\n";
  }
  shard["error"] = answer.error.substr(0, answer.error.find('\n'));
  result.exit_code = answer.exit_code;
  result.standard_error += answer.error;
}

}  // namespace

CommandResult RunWhere(const Options& options, const Environment& environment) {
  WhereAnswer answer =
      AskGateway(options.where.gateway_address, options.where, {}, environment);
  CommandResult result;
  if (answer.exit_code != ExitCode::kOk) {
    result.exit_code = answer.exit_code;
    result.standard_error = answer.error;
    return result;
  }
  const auto gateway_id = answer.json["gateway"].get<std::string>();
  for (Json& service : answer.json["services"]) {
    for (Json& shard : service["shards"]) {
      if (shard["explanation"].is_null())
        ExplainShard(options, environment, gateway_id,
                     service["service"].get<std::string>(), shard, result);
    }
  }
  result.standard_output = options.output == OutputFormat::kJson
                               ? answer.json.dump() + "\n"
                               : FormatWhereTable(answer.json);
  return result;
}

}  // namespace poplarfork::cli
