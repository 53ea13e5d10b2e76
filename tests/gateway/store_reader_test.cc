#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/peer_driver.h"
#include "gateway/store_listing.h"
#include "tests/gateway/two_gateway_fixture.h"
#include "tests/support/scripted_upstream.h"

namespace poplarfork::gateway {

namespace {

// Fleet of two store readers and a gateway that depends on them.
struct ReadersFleet : FleetFixture {
  ReadersFleet() {
    this->WriteConfiguration(1);
    this->AddUpstream("u1");
    for (int i = 0; i < 3; ++i)
      this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return std::all_of(this->gateways.begin(), this->gateways.end(),
                         [](const auto& gateway) {
                           return gateway->view.members.size() == 3 &&
                                  IsAccepting(*gateway);
                         });
    }));
    BOOST_REQUIRE(this->RunUntil([this] {
      this->readers.clear();
      for (const auto& gateway : this->gateways) {
        if (IsReader(*gateway, clock::Now()))
          this->readers.push_back(gateway.get());
        else
          this->dependent = gateway.get();
      }
      return this->readers.size() == 2 && !this->dependent->store.is_reading;
    }));
  }

  // Makes all further calls of a gateway to the store hang, and waits until one
  // has begun.
  void HangStoreCalls(Gateway& gateway) {
    const base::TimePoint silent_since = clock::Now();
    gateway.settings.store_address =
        "127.0.0.1:" +
        std::to_string(this->silent_store.local_endpoint().port());
    BOOST_REQUIRE(this->RunUntil(
        [&] { return gateway.store.read_round_started_at > silent_since; }));
  }

  std::vector<Gateway*> readers;
  Gateway* dependent = nullptr;
  // The system accepts connections to this address, but nothing responds.
  boost::asio::ip::tcp::acceptor silent_store{
      this->loop,
      {boost::asio::ip::make_address("127.0.0.1"), 0}};
};

}  // namespace

// Guards against a store reader that cannot reach the store and is sent the
// same first batch again and again when there are more changes than fit into
// one batch.
BOOST_FIXTURE_TEST_CASE(StoreReadersWithoutStoreLearnFromOthers,
                        TwoGatewayFleet) {
  constexpr int kAdded = 60;
  const std::string closed_port = "127.0.0.1:1";
  for (Gateway* gateway : {this->first, this->second}) {
    BOOST_REQUIRE(IsReader(*gateway, clock::Now()));
  }
  this->first->settings.store_address = closed_port;
  BOOST_REQUIRE(this->RunUntil([this] { return this->first->store.failing; }));
  for (int i = 0; i < kAdded; ++i)
    this->AddUpstream("added" + std::to_string(i));
  BOOST_TEST(this->RunUntil(
      [this] { return HasUpstreamCount(*this->first, kAdded + 2); }));
}

// Guards against starts that cost several reads of the store each: all gateways
// may start at the same time.
BOOST_AUTO_TEST_CASE(FreshGatewaysReadTheStoreWithOneCall) {
  FleetFixture fleet;
  fleet.WriteConfiguration(1);
  fleet.AddUpstream("u1");
  Gateway& gateway = fleet.AddGateway();
  BOOST_REQUIRE(fleet.RunUntil(
      [&] { return IsAccepting(gateway) && gateway.store.registered; }));
  BOOST_TEST(fleet.store->call_counts["/kv-range"] == 1U);
  BOOST_TEST(fleet.store->call_counts["/kv-key"] == 0U);
}

// Guards against a listing that ends at a page without a readable item: what
// the later pages name would be removed.
BOOST_AUTO_TEST_CASE(ListingsDoNotEndAtAnUnreadablePage) {
  FleetFixture fleet;
  Gateway& gateway = fleet.AddGateway();
  const std::string page = R"({"items":[],"asOf":5,"morePages":true})";
  support::ScriptedUpstream store(
      fleet.loop, [&page](support::ScriptedConnection&) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(page.size()) + "\r\n\r\n" + page;
      });
  gateway.settings.store_address = store.GetAddress();
  bool ended = false;
  bool complete = true;
  ListStoreItems(gateway, "", [&](const Listing* listing) {
    ended = true;
    complete = listing != nullptr;
  });
  BOOST_REQUIRE(fleet.RunUntil([&] { return ended; }));
  BOOST_TEST(!complete);
}

// Guards against a daemon that cannot reach the store and does not learn the
// changes that the other daemons learn.
BOOST_AUTO_TEST_CASE(DaemonsWithoutStoreLearnFromOthers) {
  FleetFixture fleet;
  fleet.WriteConfiguration(1);
  fleet.AddUpstream("u1");
  Gateway& cut_off = fleet.AddGateway();
  fleet.AddGateway();
  fleet.AddGateway();
  BOOST_REQUIRE(fleet.RunUntil([&] {
    return cut_off.view.members.size() == 3 && IsAccepting(cut_off);
  }));
  // Nothing listens at this address, so this daemon cannot reach the store.
  cut_off.settings.store_address = "127.0.0.1:1";
  fleet.WriteConfiguration(3);
  fleet.AddUpstream("u2");
  BOOST_TEST(fleet.RunUntil([&] {
    return GetConfigurationVersion(cut_off) == 3 &&
           HasUpstreamCount(cut_off, 2);
  }));
}

// Guards against an entry of another writer whose names make the records of all
// upstreams too long to be sent to other daemons.
BOOST_AUTO_TEST_CASE(OddEntriesDoNotKeepRecordsFromOthers) {
  FleetFixture fleet;
  fleet.WriteConfiguration(1);
  fleet.AddUpstream("u1");
  Gateway& cut_off = fleet.AddGateway();
  fleet.AddGateway();
  fleet.AddGateway();
  BOOST_REQUIRE(fleet.RunUntil([&] {
    return cut_off.view.members.size() == 3 && IsAccepting(cut_off);
  }));
  cut_off.settings.store_address = "127.0.0.1:1";
  const std::string long_name(70000, 's');
  standin::PutPlatformItem(
      *fleet.store, "servers/odd",
      standin::MakePlatformUpstreamEntry(*fleet.upstreams.at("u1"), long_name,
                                         "ready", 1));
  standin::PutPlatformItem(*fleet.store, "servers/deep",
                           std::string(1024 * 1024, '['));
  fleet.AddUpstream("u2");
  BOOST_TEST(fleet.RunUntil([&] {
    return std::all_of(
        fleet.gateways.begin(), fleet.gateways.end(),
        [](const auto& gateway) { return HasUpstreamCount(*gateway, 2); });
  }));
}

// Guards against daemons that read the same changes again and again because
// these are larger than what they accept in one response.
BOOST_FIXTURE_TEST_CASE(ChangesTooLargeToReadAreListed, TwoGatewayFleet) {
  const std::string large_value(1024 * 1024, 'x');
  for (int i = 0; i < 10; ++i)
    standin::PutPlatformItem(*this->store, "servers/odd", large_value);
  this->AddUpstream("u3");
  BOOST_TEST(this->RunUntil([this] {
    return HasUpstreamCount(*this->first, 3) &&
           HasUpstreamCount(*this->second, 3);
  }));
}

// Guards against a daemon that has an old configuration because the store
// readers' calls hang: it must not wait until they find that out.
BOOST_FIXTURE_TEST_CASE(DaemonsReadTheStoreWhileReadersHang, ReadersFleet) {
  for (Gateway* reader : this->readers)
    this->HangStoreCalls(*reader);
  this->WriteConfiguration(3);
  BOOST_TEST(this->RunUntil(
      [&] { return GetConfigurationVersion(*this->dependent) == 3; }));
  for (const Gateway* reader : this->readers)
    BOOST_TEST(!reader->store.failing);
}

// Guards against a configuration that the others hear of late because only the
// first store reader announces it, which is the one that has failed.
BOOST_FIXTURE_TEST_CASE(AnyReaderAnnouncesConfigurations, ReadersFleet) {
  const std::vector<base::DaemonId> ranked =
      fleet::SelectStoreReaders(this->dependent->view, clock::Now());
  for (Gateway* reader : this->readers) {
    if (reader->view.self == ranked.front())
      this->HangStoreCalls(*reader);
  }
  // Without Hellos the dependent gateway hears only what is announced.
  this->dependent->hello_timer.cancel();
  this->WriteConfiguration(3);
  BOOST_TEST(this->RunUntil(
      [this] { return GetConfigurationVersion(*this->dependent) == 3; }));
}

}  // namespace poplarfork::gateway
