#include "daemon/address_reply_func.h"

#include <cpprest/base_uri.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "address/selection_func.h"
#include "daemon/admin_reply_func.h"
#include "daemon/problem_func.h"
#include "logging/log_func.h"
#include "membership/membership_func.h"
#include "routing/service_group_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using web::json::value;

std::map<std::string, std::string> QueryOf(const edge::HttpRequest& request) {
  const std::string target(request.target().data(), request.target().size());
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos)
    return {};
  return web::uri::split_query(target.substr(mark + 1));
}

// Returns the daemons whose addresses may be given to a caller: the group of
// `service`, or all live daemons if the caller named no service.
std::vector<base::DaemonId> GroupOf(const Daemon& daemon,
                                    const std::string& service) {
  const auto members = service.empty()
                           ? daemon.live
                           : routing::ServiceGroup({service}, daemon.live);
  std::vector<base::DaemonId> ids;
  ids.reserve(members.size());
  for (const routing::GroupMember& member : members)
    ids.push_back(member.id);
  return ids;
}

value BodyOf(const address::AddressAnswer& answer, base::Duration lifetime) {
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
      std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count());
  return body;
}

void LogPlacement(const std::string& service,
                  const std::string& data_centre,
                  const value& body) {
  auto fields = value::object();
  fields["service"] = value::string(service);
  fields["caller_data_centre"] = value::string(data_centre);
  fields["answer"] = body;
  logging::LogLine("addresses", std::move(fields));
}

}  // namespace

edge::HttpResponse AddressReply(Daemon& daemon,
                                const edge::HttpRequest& request) {
  const auto query = QueryOf(request);
  const auto text = [&query](const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string()
                                : web::uri::decode(found->second);
  };
  const std::string service = text("service");
  const bool is_known =
      service.empty() || (daemon.configuration &&
                          daemon.configuration->services.contains({service}));
  if (!is_known) {
    return RenderProblem(
        {http::status::not_found, Outcome::kNotRun, "no_such_service", {}},
        {""});
  }
  const std::string data_centre = text("data_centre");
  const auto answer = address::ChooseAddresses(
      membership::LiveMembers(daemon.membership), GroupOf(daemon, service),
      {data_centre}, daemon.rng);
  const value body = BodyOf(
      answer, std::chrono::milliseconds(daemon.settings.address_lifetime_ms));
  LogPlacement(service, data_centre, body);
  auto response = JsonReply(http::status::ok, body);
  response.set(
      http::field::cache_control,
      "max-age=" + std::to_string(daemon.settings.address_lifetime_ms / 1000));
  return response;
}

}  // namespace poplarfork::daemon
