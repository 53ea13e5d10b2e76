#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "clock/now_func.h"
#include "standin/http_server_func.h"
#include "tests/gateway/two_gateway_fixture.h"

namespace poplarfork::gateway {

namespace {

using standin::PlatformStoreMode;
using std::chrono::milliseconds;

// Fleet whose connections to the store go silent while the entry of u1 is
// removed by a store that is available all the time.
struct SilentConnectionsFleet : TwoGatewayFleet {
  // Returns a gateway that has read the removal.
  const Gateway& LoseRemoval() {
    standin::SilenceConnections(*this->store->server, nullptr);
    return this->Remove();
  }

  const Gateway& Remove() {
    standin::RemovePlatformItem(*this->store, "servers/u1");
    const fleet::StoreRevision removal{this->store->revision};
    const auto has_read = [removal](const Gateway* gateway) {
      return gateway->view.as_of >= removal;
    };
    BOOST_REQUIRE(this->RunUntil(
        [&] { return has_read(this->first) || has_read(this->second); }));
    return has_read(this->first) ? *this->first : *this->second;
  }
};

}  // namespace

// Guards against requests that fail during a store outage, and against
// upstreams that are removed because their entries expired during the outage,
// although they write them again after it.
BOOST_FIXTURE_TEST_CASE(RequestsAreServedDuringStoreOutages, TwoGatewayFleet) {
  for (const PlatformStoreMode mode :
       {PlatformStoreMode::kUnavailable, PlatformStoreMode::kSilent,
        PlatformStoreMode::kResetConnections}) {
    standin::SetPlatformStoreMode(*this->store, mode);
    standin::RemovePlatformItem(*this->store, "servers/u1");
    // A store reader does not notice an outage between two of its reads. Both
    // must notice this one.
    BOOST_REQUIRE(this->RunUntil([this] {
      return this->first->store.failing && this->second->store.failing;
    }));
    BOOST_TEST(this->SendAndWait(*this->first, {.request_id = "s"}).status ==
               200U);
    standin::SetPlatformStoreMode(*this->store, PlatformStoreMode::kNormal);
    BOOST_REQUIRE(this->RunUntil([this] {
      return !this->first->store.failing && !this->second->store.failing;
    }));
    // An upstream writes its entry again within two seconds, so the entry must
    // not have been removed yet.
    this->RunFor(milliseconds(700));
    BOOST_TEST(HasUpstreamCount(*this->first, 2));
    BOOST_TEST(HasUpstreamCount(*this->second, 2));
    this->WriteEntry(*this->upstreams.at("u1"), "ready");
    this->RunFor(milliseconds(700));
    BOOST_TEST(HasUpstreamCount(*this->first, 2));
    BOOST_TEST(HasUpstreamCount(*this->second, 2));
    BOOST_TEST(this->SendAndWait(*this->second, {.request_id = "t"}).status ==
               200U);
  }
}

// Guards against upstreams whose entries expired during a store outage, are not
// written again, and are never removed.
BOOST_FIXTURE_TEST_CASE(ExpiredEntriesAreRemovedAfterOutage, TwoGatewayFleet) {
  standin::SetPlatformStoreMode(*this->store, PlatformStoreMode::kUnavailable);
  standin::RemovePlatformItem(*this->store, "servers/u1");
  BOOST_REQUIRE(this->RunUntil([this] {
    return this->first->store.failing && this->second->store.failing;
  }));
  standin::SetPlatformStoreMode(*this->store, PlatformStoreMode::kNormal);
  BOOST_TEST(this->RunUntil([this] {
    return HasUpstreamCount(*this->first, 1) &&
           HasUpstreamCount(*this->second, 1);
  }));
}

// Guards against an upstream that has left and stays in use because a lost
// connection to the store counted as an outage in which entries expire.
BOOST_FIXTURE_TEST_CASE(RemovalsAreAppliedAfterLostConnections,
                        SilentConnectionsFleet) {
  const Gateway& gateway = this->LoseRemoval();
  BOOST_TEST(HasUpstreamCount(gateway, 1));
  BOOST_TEST(gateway.store.deferred_removals.empty());
  BOOST_TEST(this->RunUntil([this] {
    return HasUpstreamCount(*this->first, 1) &&
           HasUpstreamCount(*this->second, 1);
  }));
}

// Guards against the same after waiting watches were cut.
BOOST_FIXTURE_TEST_CASE(RemovalsAreAppliedAfterCutWatches,
                        SilentConnectionsFleet) {
  BOOST_REQUIRE(
      this->RunUntil([this] { return this->store->watches.size() == 2; }));
  standin::ResetConnections(*this->store->server);
  this->store->watches.clear();
  const Gateway& gateway = this->Remove();
  BOOST_TEST(HasUpstreamCount(gateway, 1));
  BOOST_TEST(gateway.store.deferred_removals.empty());
}

// Guards against live upstreams that are removed because an outage of the store
// that let their entries expire looked like a lost connection.
BOOST_FIXTURE_TEST_CASE(EntriesThatMayHaveExpiredUnseenAreKept,
                        SilentConnectionsFleet) {
  for (Gateway* gateway : {this->first, this->second})
    gateway->settings.upstream_heartbeat = milliseconds(500);
  const Gateway& gateway = this->LoseRemoval();
  BOOST_TEST(HasUpstreamCount(gateway, 2));
  this->WriteEntry(*this->upstreams.at("u1"), "ready");
  this->RunFor(milliseconds(2500));
  BOOST_TEST(HasUpstreamCount(*this->first, 2));
  BOOST_TEST(HasUpstreamCount(*this->second, 2));
}

// Guards against a live upstream that is removed because its removal was
// deferred after an outage by a daemon that did not read the store afterwards,
// when the entry was written again.
BOOST_FIXTURE_TEST_CASE(RemovalsOfEntriesThatCameBackAreDropped,
                        TwoGatewayFleet) {
  const base::TimePoint noted_at = clock::Now();
  for (Gateway* gateway : {this->first, this->second})
    gateway->store.deferred_removals[{"u1"}] = {gateway->view.as_of, noted_at};
  BOOST_REQUIRE(this->RunUntil([this] {
    return this->first->store.deferred_removals.empty() &&
           this->second->store.deferred_removals.empty();
  }));
  BOOST_TEST(HasUpstreamCount(*this->first, 2));
  BOOST_TEST(HasUpstreamCount(*this->second, 2));
}

// Guards against changes that are missed when the store has dropped the history
// that a watch would continue from.
BOOST_FIXTURE_TEST_CASE(StoreIsListedAgainAfterHistoryLoss, TwoGatewayFleet) {
  standin::RemovePlatformItem(*this->store, "servers/u2");
  this->WriteConfiguration(7);
  standin::CompactPlatformHistory(*this->store);
  BOOST_TEST(this->RunUntil([this] {
    return HasUpstreamCount(*this->first, 1) &&
           HasUpstreamCount(*this->second, 1) &&
           GetConfigurationVersion(*this->first) == 7 &&
           GetConfigurationVersion(*this->second) == 7;
  }));
}

// Guards against a daemon that stays unregistered after its lease has ended,
// whether it notices the loss in the list of members or by a failed renewal.
BOOST_FIXTURE_TEST_CASE(LostRegistrationsAreRestored, TwoGatewayFleet) {
  BOOST_REQUIRE(this->RunUntil([this] {
    return this->first->store.registered && this->second->store.registered;
  }));
  const std::string key = "members/" + this->first->view.self.value;
  this->RunFor(milliseconds(2100));
  standin::RevokePlatformLease(*this->store, this->first->store.lease.value);
  BOOST_TEST(!this->store->items.contains(key));
  BOOST_TEST(this->RunUntil([&] { return this->store->items.contains(key); }));
  BOOST_TEST(!this->second->view.members.at(this->first->view.self).removed);
}

}  // namespace poplarfork::gateway
