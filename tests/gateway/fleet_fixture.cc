#include "tests/gateway/fleet_fixture.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "gateway/peer_driver.h"
#include "gateway/startup.h"
#include "standin/http_server_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using Json = nlohmann::json;

// Time limit of each wait, which is only reached if a test fails.
constexpr std::chrono::seconds kWaitLimit(30);
constexpr std::uint64_t kSeed = 20261204;
constexpr const char* kHost = "f.example";

const boost::asio::ip::tcp::endpoint kFreePortEndpoint(
    boost::asio::ip::make_address("127.0.0.1"),
    0);

// Connections come from 127.0.0.1, so none takes the port of an upstream that
// is down for a while.
const boost::asio::ip::tcp::endpoint kUpstreamEndpoint(
    boost::asio::ip::make_address("127.0.0.2"),
    0);

Json MakeRouteJson(const std::string& prefix, const std::string& route_type) {
  return {{"host", kHost},
          {"pathPrefix", prefix},
          {"routeType", route_type},
          {"timeout", "5000ms"},
          {"targetLatency", "2000ms"},
          {"priority", 1},
          {"service", "s"},
          {"maxAttempts", 2}};
}

Json MakeAccountsJson(const std::map<std::string, FixtureAccount>& accounts) {
  Json json = Json::object();
  for (const auto& [name, account] : accounts) {
    json[name] = {{"apiKeys", account.keys},
                  {"ratePerS", account.rate_per_second},
                  {"burst", account.burst}};
    if (account.priority)
      json[name]["priority"] = *account.priority;
  }
  return json;
}

}  // namespace

FleetFixture::FleetFixture()
    : store(standin::StartPlatformStore(this->loop.get_executor(),
                                        kFreePortEndpoint)) {}

FleetFixture::~FleetFixture() {
  this->DisconnectCallers();
  standin::StopPlatformStore(*this->store);
  for (const auto& [id, upstream] : this->upstreams)
    standin::StopHttpServer(*upstream->server);
  for (const auto& gateway : this->gateways) {
    gateway->front_server->Stop();
    gateway->readiness_server->Stop();
    gateway->directory_server->Stop();
    gateway->control_server->Stop();
    gateway->peer_channel->Close();
  }
  this->loop.stop();
}

Gateway& FleetFixture::AddGateway() {
  auto gateway = std::make_unique<Gateway>(this->loop);
  Settings& settings = gateway->settings;
  settings.name = "gateway-" + std::to_string(this->gateways.size());
  settings.data_centre = "a";
  settings.front_address = "127.0.0.1:0";
  settings.ready_address = "127.0.0.1:0";
  settings.control_address = "127.0.0.1:0";
  settings.directory_address = "127.0.0.1:0";
  settings.peer_address = "127.0.0.1:0";
  settings.store_address = standin::ListeningAddress(*this->store->server);
  settings.upstream_heartbeat = std::chrono::milliseconds(1500);
  settings.grace_time = std::chrono::seconds(6);
  settings.address_ttl_limit = std::chrono::seconds(5);
  settings.retry_ratio = 0.2;
  settings.retry_allowance = 50;
  settings.floor_share = 0.7;
  settings.pipeline_limit = this->pipeline_limit;
  gateway->dispatcher.settings.retry_allowance = 50;
  Gateway& added = *gateway;
  this->gateways.push_back(std::move(gateway));
  BOOST_REQUIRE(StartGateway(added, kSeed + this->gateways.size()).has_value());
  return added;
}

standin::PlatformUpstream& FleetFixture::AddUpstream(const std::string& id) {
  const auto upstream = standin::StartPlatformUpstream(
      this->loop.get_executor(), kUpstreamEndpoint, id,
      std::chrono::milliseconds(20));
  this->upstreams[id] = upstream;
  this->WriteEntry(*upstream, "ready");
  return *upstream;
}

void FleetFixture::WriteEntry(const standin::PlatformUpstream& upstream,
                              const std::string& state) {
  standin::PutPlatformItem(*this->store, "servers/" + upstream.instance_id,
                           standin::MakePlatformUpstreamEntry(
                               upstream, "s", state, ++this->entry_sequence));
}

void FleetFixture::WriteConfiguration(std::uint64_t version,
                                      const std::string& extra_prefix) {
  Json routes = {{"look", MakeRouteJson("/look/", "idempotent")},
                 {"order", MakeRouteJson("/order/", "non_idempotent")},
                 {"open", MakeRouteJson("/open/", "idempotent")}};
  routes["open"]["public"] = true;
  if (!extra_prefix.empty())
    routes["extra"] = MakeRouteJson(extra_prefix, "idempotent");
  Json configuration = {
      {"version", version},
      {"routes", routes},
      {"services",
       {{"s", {{"healthPath", "/health"}, {"maxConnections", 100}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 100000},
        {"headerTimeout", "5s"},
        {"idleTimeout", "20s"}}}};
  if (this->accounts)
    configuration["tenants"] = MakeAccountsJson(*this->accounts);
  standin::PutPlatformItem(*this->store, "op/config", configuration.dump());
}

std::shared_ptr<CallerResponse> FleetFixture::StartCallerRequest(
    const std::string& address,
    edge::HttpRequest request,
    upstream::ConnectionReuse reuse) {
  auto response = std::make_shared<CallerResponse>();
  upstream::CallOptions options;
  options.address = address;
  options.reuse = reuse;
  options.timeout = kWaitLimit;
  options.max_body_bytes = 1000000;
  this->caller_exchanges.push_back(upstream::StartCall(
      this->loop, this->caller_pool, options,
      std::make_shared<edge::HttpRequest>(std::move(request)),
      [response](const upstream::BufferedResponse& whole_response) {
        response->ended = true;
        if (!whole_response.IsComplete())
          return;
        response->status = whole_response.header.result_int();
        response->body = whole_response.body;
        response->retry_after =
            std::string(whole_response.header[http::field::retry_after]);
        response->is_connection_reused =
            whole_response.end.is_connection_reused;
        for (const auto& field : whole_response.header)
          response->fields += std::string(field.name_string()) + ": " +
                              std::string(field.value()) + "\n";
      }));
  return response;
}

std::shared_ptr<CallerResponse> FleetFixture::Send(
    Gateway& gateway,
    const CallerRequest& request) {
  edge::HttpRequest http_request(
      request.is_order ? http::verb::post : http::verb::get,
      request.is_order ? "/order/1" : request.target, 11);
  http_request.set(http::field::host, kHost);
  http_request.set("Attempt-Id", request.request_id);
  http_request.set("Deadline-Ms", request.deadline_ms);
  for (const std::string& value : request.authorization)
    http_request.insert(http::field::authorization, value);
  for (const std::string& value : request.tenants)
    http_request.insert("Tenant", value);
  if (request.is_order)
    http_request.body() = "order " + request.request_id;
  http_request.prepare_payload();
  return this->StartCallerRequest(
      gateway.settings.front_address, std::move(http_request),
      request.reuses_connection ? upstream::ConnectionReuse::kAllowed
                                : upstream::ConnectionReuse::kForbidden);
}

CallerResponse FleetFixture::SendAndWait(Gateway& gateway,
                                         const CallerRequest& request) {
  const auto response = this->Send(gateway, request);
  BOOST_REQUIRE(this->RunUntil([&response] { return response->ended; }));
  return *response;
}

CallerResponse FleetFixture::Get(const std::string& address,
                                 const std::string& target) {
  edge::HttpRequest http_request(http::verb::get, target, 11);
  http_request.set(http::field::host, address);
  const auto response =
      this->StartCallerRequest(address, std::move(http_request));
  BOOST_REQUIRE(this->RunUntil([&response] { return response->ended; }));
  return *response;
}

void FleetFixture::DisconnectCallers() {
  for (const auto& call : this->caller_exchanges) {
    if (const auto exchange = call.lock())
      exchange->Cancel();
  }
  this->caller_exchanges.clear();
}

bool FleetFixture::RunUntil(const std::function<bool()>& done) {
  const auto wait_end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > wait_end)
      return false;
    this->loop.restart();
    this->loop.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

void FleetFixture::RunFor(std::chrono::milliseconds time) {
  this->loop.restart();
  this->loop.run_for(time);
}

}  // namespace poplarfork::gateway
