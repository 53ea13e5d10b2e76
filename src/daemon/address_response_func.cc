#include "daemon/address_response_func.h"

#include <cpprest/base_uri.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "address/selection_func.h"
#include "daemon/http_response_func.h"
#include "daemon/problem_func.h"
#include "logging/log_func.h"
#include "membership/membership_func.h"
#include "routing/service_group_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using web::json::value;

std::map<std::string, std::string> ParseQuery(
    const edge::HttpRequest& request) {
  const std::string target(request.target().data(), request.target().size());
  const std::size_t query_start = target.find('?');
  if (query_start == std::string::npos)
    return {};
  return web::uri::split_query(target.substr(query_start + 1));
}

// Returns the daemons whose addresses may be given to a caller: the group of
// `service`, or all live daemons if the caller named no service.
std::vector<base::DaemonId> FindEligibleDaemons(const Daemon& daemon,
                                                const std::string& service) {
  const auto members =
      service.empty() ? daemon.live_daemons
                      : routing::ServiceGroup({service}, daemon.live_daemons);
  std::vector<base::DaemonId> ids;
  ids.reserve(members.size());
  for (const routing::GroupMember& member : members)
    ids.push_back(member.id);
  return ids;
}

value MakeAddressBody(const address::AddressAnswer& answer,
                      base::Duration answer_lifetime) {
  std::vector<value> addresses;
  for (const address::Address& address : answer.addresses) {
    auto fields = value::object();
    fields["address"] = value::string(address.edge_address);
    fields["data_centre"] = value::string(address.data_centre.value);
    addresses.push_back(std::move(fields));
  }
  auto body = value::object();
  body["addresses"] = value::array(std::move(addresses));
  body["lifetime_ms"] = value::number(
      std::chrono::duration_cast<std::chrono::milliseconds>(answer_lifetime)
          .count());
  return body;
}

void LogAddressAnswer(const std::string& service,
                      const std::string& caller_data_centre,
                      const value& body) {
  auto fields = value::object();
  fields["service"] = value::string(service);
  fields["caller_data_centre"] = value::string(caller_data_centre);
  fields["answer"] = body;
  logging::WriteLogLine("addresses", std::move(fields));
}

}  // namespace

edge::HttpResponse MakeAddressResponse(Daemon& daemon,
                                       const edge::HttpRequest& request) {
  const auto query = ParseQuery(request);
  const auto get_parameter = [&query](const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string()
                                : web::uri::decode(found->second);
  };
  const std::string service = get_parameter("service");
  const bool is_known =
      service.empty() || (daemon.configuration &&
                          daemon.configuration->services.contains({service}));
  if (!is_known) {
    return MakeProblemResponse(
        {http::status::not_found, Outcome::kNotRun, "no_such_service", {}},
        {""});
  }
  const std::string caller_data_centre = get_parameter("data_centre");
  const auto answer = address::ChooseAddresses(
      membership::LiveMembers(daemon.membership),
      FindEligibleDaemons(daemon, service), {caller_data_centre}, daemon.rng);
  const value body = MakeAddressBody(
      answer, std::chrono::milliseconds(daemon.settings.address_lifetime_ms));
  LogAddressAnswer(service, caller_data_centre, body);
  auto response = MakeJsonResponse(http::status::ok, body);
  response.set(
      http::field::cache_control,
      "max-age=" + std::to_string(daemon.settings.address_lifetime_ms / 1000));
  return response;
}

}  // namespace poplarfork::daemon
