#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "clock/now_func.h"
#include "gateway/peer_driver.h"
#include "gateway/view_update_driver.h"
#include "standin/http_server_func.h"
#include "tests/gateway/two_gateway_fixture.h"
#include "tests/support/scripted_upstream.h"

namespace poplarfork::gateway {

namespace {

using std::chrono::milliseconds;

// Time within which an acknowledged configuration is in force at every gateway.
constexpr base::Duration kConfigurationBound = milliseconds(2000);

// Gateway that hears of configurations which a member has in force. It does not
// read the store itself any more, and its view is complete up to a later
// revision already.
struct AnnouncedConfigurationFleet : FleetFixture {
  AnnouncedConfigurationFleet() {
    this->WriteConfiguration(1);
    this->AddUpstream("u1");
    this->gateway = &this->AddGateway();
    BOOST_REQUIRE(
        this->RunUntil([this] { return IsAccepting(*this->gateway); }));
  }

  // Adds a member that serves its configuration as `script` says.
  void AddMember(support::ScriptedUpstream::ResponseScript script) {
    this->control_server.emplace(this->loop, std::move(script));
    fleet::MemberRecord record;
    record.member.id = this->member;
    record.member.control_address = this->control_server->GetAddress();
    this->gateway->view.members[this->member] = record;
  }

  void WriteUnseenConfiguration(std::uint64_t version) {
    BOOST_REQUIRE(this->RunUntil([this] { return store->watches.empty(); }));
    BOOST_REQUIRE(this->RunUntil([this] { return !store->watches.empty(); }));
    // A watch that is answered early is followed by a pause.
    this->WriteEntry(*this->upstreams.at("u1"), "ready");
    this->RunFor(milliseconds(50));
    this->gateway->store_timer.cancel();
    this->WriteConfiguration(version);
    this->gateway->view.as_of = {this->store->revision};
  }

  // Returns a response with the configuration that the store holds.
  std::string MakeConfigurationResponse() const {
    const std::string& text = this->store->items.at("op/config").value;
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
           "\r\n\r\n" + text;
  }

  datagram::ViewUpdate MakeUpdate(std::uint64_t version) const {
    datagram::ViewUpdate update;
    update.configuration_version = {version};
    return update;
  }

  Gateway* gateway = nullptr;
  const base::DaemonId member{"127.0.0.1:9"};
  std::optional<support::ScriptedUpstream> control_server;
};

}  // namespace

// Guards against a configuration that is replaced by one with an earlier
// version or by a malformed one, and against a configuration that reaches only
// some of the daemons.
BOOST_FIXTURE_TEST_CASE(NewerConfigurationsReachAllDaemons, TwoGatewayFleet) {
  this->WriteConfiguration(5, "/new/");
  BOOST_REQUIRE(this->RunUntil([this] {
    return GetConfigurationVersion(*this->first) == 5 &&
           GetConfigurationVersion(*this->second) == 5;
  }));
  BOOST_TEST(
      this->SendAndWait(*this->second, {.request_id = "n", .target = "/new/1"})
          .status == 200U);
  this->WriteConfiguration(4);
  standin::PutPlatformItem(*this->store, "op/config",
                           R"({"version":9,"routes":)");
  this->RunFor(milliseconds(1500));
  BOOST_TEST(GetConfigurationVersion(*this->first) == 5U);
  BOOST_TEST(GetConfigurationVersion(*this->second) == 5U);
  this->WriteConfiguration(11);
  BOOST_TEST(this->RunUntil([this] {
    return GetConfigurationVersion(*this->first) == 11 &&
           GetConfigurationVersion(*this->second) == 11;
  }));
}

// Guards against a configuration that is in force late because the store is
// read on a connection that has gone silent.
BOOST_AUTO_TEST_CASE(ConfigurationsAreInTimeAfterSilentStoreConnections) {
  FleetFixture fleet;
  fleet.WriteConfiguration(1);
  fleet.AddUpstream("u1");
  Gateway& gateway = fleet.AddGateway();
  BOOST_REQUIRE(fleet.RunUntil([&] { return IsAccepting(gateway); }));
  // The change falls into the pause before the next read, so that the whole
  // wait for an answer follows it.
  BOOST_REQUIRE(fleet.RunUntil([&] { return !fleet.store->watches.empty(); }));
  BOOST_REQUIRE(fleet.RunUntil([&] { return fleet.store->watches.empty(); }));
  standin::SilenceConnections(*fleet.store->server, nullptr);
  fleet.WriteConfiguration(2);
  const base::TimePoint acknowledged_at = clock::Now();
  BOOST_REQUIRE(
      fleet.RunUntil([&] { return GetConfigurationVersion(gateway) == 2; }));
  BOOST_TEST((clock::Now() - acknowledged_at < kConfigurationBound));
  BOOST_TEST(!gateway.store.failing);
}

// Guards against a configuration that is in force late because the gateway that
// announced it does not return it, and the connection to the store is silent.
BOOST_FIXTURE_TEST_CASE(ConfigurationsAreInTimeAfterHangingFetches,
                        AnnouncedConfigurationFleet) {
  // Time that a store reader needs if its own connection is silent: the pause
  // between two reads, the wait of the store and the wait for an answer.
  constexpr milliseconds kReaderTime(1200);
  this->AddMember([](auto&) { return std::string(); });
  this->WriteUnseenConfiguration(2);
  const base::TimePoint acknowledged_at = clock::Now();
  this->RunFor(kReaderTime);
  standin::SilenceConnections(*this->store->server, nullptr);
  OnViewUpdate(*this->gateway, this->member, this->MakeUpdate(2));
  BOOST_REQUIRE(this->RunUntil(
      [this] { return GetConfigurationVersion(*this->gateway) == 2; }));
  BOOST_TEST((clock::Now() - acknowledged_at < kConfigurationBound));
}

// Guards against a version that is not in force because it was announced while
// an earlier one was being fetched.
BOOST_FIXTURE_TEST_CASE(ConfigurationsAnnouncedDuringFetchesAreFetched,
                        AnnouncedConfigurationFleet) {
  this->WriteUnseenConfiguration(2);
  std::string response = this->MakeConfigurationResponse();
  this->AddMember([&response](auto&) { return response; });
  OnViewUpdate(*this->gateway, this->member, this->MakeUpdate(2));
  OnViewUpdate(*this->gateway, this->member, this->MakeUpdate(3));
  BOOST_REQUIRE(this->RunUntil(
      [this] { return GetConfigurationVersion(*this->gateway) == 2; }));
  this->WriteConfiguration(3);
  this->gateway->view.as_of = {this->store->revision};
  response = this->MakeConfigurationResponse();
  BOOST_TEST(this->RunUntil(
      [this] { return GetConfigurationVersion(*this->gateway) == 3; }));
}

// Guards against a view that counts as confirmed although the configuration is
// older than that of the store reader, so that the store is not read directly.
BOOST_FIXTURE_TEST_CASE(ViewsWithOlderConfigurationsAreNotConfirmed,
                        AnnouncedConfigurationFleet) {
  this->AddMember([](auto&) { return std::string(); });
  this->gateway->freshness.confirmed_at = {};
  datagram::ViewUpdate update = this->MakeUpdate(2);
  update.part_count = 1;
  update.read_age = base::Duration(0);
  OnViewUpdate(*this->gateway, this->member, update);
  BOOST_TEST((this->gateway->freshness.confirmed_at == base::TimePoint{}));
  update.configuration_version = {1};
  OnViewUpdate(*this->gateway, this->member, update);
  BOOST_TEST((this->gateway->freshness.confirmed_at != base::TimePoint{}));
}

}  // namespace poplarfork::gateway
