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
constexpr std::chrono::seconds kLimit(30);
constexpr std::uint64_t kSeed = 20261204;
constexpr const char* kHost = "f.example";

const boost::asio::ip::tcp::endpoint kAnyPort(
    boost::asio::ip::make_address("127.0.0.1"),
    0);

Json RouteJson(const std::string& prefix, const std::string& type) {
  return {
      {"host", kHost},       {"pathPrefix", prefix},      {"routeType", type},
      {"timeout", "5000ms"}, {"targetLatency", "2000ms"}, {"priority", 1},
      {"service", "s"},      {"maxAttempts", 2}};
}

}  // namespace

FleetFixture::FleetFixture()
    : store(standin::StartPlatformStore(this->loop.get_executor(), kAnyPort)) {}

FleetFixture::~FleetFixture() {
  this->LeaveAll();
  standin::StopPlatformStore(*this->store);
  for (const auto& [id, upstream] : this->upstreams)
    standin::StopServer(*upstream->server);
  for (const auto& gateway : this->gateways) {
    gateway->front->Stop();
    gateway->ready->Stop();
    gateway->directory->Stop();
    gateway->control->Stop();
    gateway->channel->Close();
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
  settings.store_address = standin::ServerAddress(*this->store->server);
  settings.grace_time = std::chrono::seconds(6);
  settings.address_ttl_limit = std::chrono::seconds(5);
  settings.retry_ratio = 0.2;
  settings.retry_allowance = 50;
  settings.floor_share = 0.7;
  gateway->dispatcher.settings.retry_allowance = 50;
  Gateway& added = *gateway;
  this->gateways.push_back(std::move(gateway));
  BOOST_REQUIRE(StartGateway(added, kSeed + this->gateways.size()).has_value());
  return added;
}

standin::PlatformUpstream& FleetFixture::AddUpstream(const std::string& id) {
  const auto upstream = standin::StartPlatformUpstream(
      this->loop.get_executor(), kAnyPort, id, std::chrono::milliseconds(20));
  this->upstreams[id] = upstream;
  this->WriteEntry(*upstream, "ready");
  return *upstream;
}

void FleetFixture::WriteEntry(const standin::PlatformUpstream& upstream,
                              const std::string& state) {
  standin::PutPlatformItem(
      *this->store, "servers/" + upstream.id,
      standin::PlatformUpstreamEntry(upstream, "s", state, ++this->sequence));
}

void FleetFixture::Configure(std::uint64_t version, const std::string& extra) {
  Json routes = {{"look", RouteJson("/look/", "idempotent")},
                 {"order", RouteJson("/order/", "non_idempotent")}};
  if (!extra.empty())
    routes["extra"] = RouteJson(extra, "idempotent");
  const Json configuration = {
      {"version", version},
      {"routes", routes},
      {"services",
       {{"s", {{"healthPath", "/health"}, {"maxConnections", 100}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 100000},
        {"headerTimeout", "5s"},
        {"idleTimeout", "20s"}}}};
  standin::PutPlatformItem(*this->store, "op/config", configuration.dump());
}

std::shared_ptr<CallerAnswer> FleetFixture::Call(const std::string& address,
                                                 edge::HttpRequest request) {
  auto answer = std::make_shared<CallerAnswer>();
  upstream::CallOptions options;
  options.address = address;
  options.reuse = upstream::Reuse::kNewConnection;
  options.timeout = kLimit;
  options.max_body_bytes = 1000000;
  this->calls.push_back(upstream::StartCall(
      this->loop, this->callers, options,
      std::make_shared<edge::HttpRequest>(std::move(request)),
      [answer](const upstream::WholeAnswer& whole) {
        answer->ended = true;
        if (!whole.IsComplete())
          return;
        answer->status = whole.header.result_int();
        answer->body = whole.body;
        answer->retry_after =
            std::string(whole.header[http::field::retry_after]);
      }));
  return answer;
}

std::shared_ptr<CallerAnswer> FleetFixture::Send(Gateway& gateway,
                                                 const CallerRequest& request) {
  edge::HttpRequest http(request.is_order ? http::verb::post : http::verb::get,
                         request.is_order ? "/order/1" : request.target, 11);
  http.set(http::field::host, kHost);
  http.set("Attempt-Id", request.id);
  http.set("Deadline-Ms", request.time_left);
  if (request.is_order)
    http.body() = "order " + request.id;
  http.prepare_payload();
  return this->Call(gateway.settings.front_address, std::move(http));
}

CallerAnswer FleetFixture::Ask(Gateway& gateway, const CallerRequest& request) {
  const auto answer = this->Send(gateway, request);
  BOOST_REQUIRE(this->RunUntil([&answer] { return answer->ended; }));
  return *answer;
}

CallerAnswer FleetFixture::Get(const std::string& address,
                               const std::string& target) {
  edge::HttpRequest http(http::verb::get, target, 11);
  http.set(http::field::host, address);
  const auto answer = this->Call(address, std::move(http));
  BOOST_REQUIRE(this->RunUntil([&answer] { return answer->ended; }));
  return *answer;
}

void FleetFixture::LeaveAll() {
  for (const auto& call : this->calls) {
    if (const auto exchange = call.lock())
      exchange->Cancel();
  }
  this->calls.clear();
}

bool FleetFixture::RunUntil(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end)
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
