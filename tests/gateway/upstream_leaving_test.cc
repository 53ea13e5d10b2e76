#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "dispatch/leaving_func.h"
#include "fleet/view_func.h"
#include "gateway/dispatch_driver.h"
#include "tests/gateway/two_gateway_fixture.h"

namespace poplarfork::gateway {

namespace {

using standin::PlatformStoreMode;
using std::chrono::milliseconds;

// Fleet in which u1 says in its responses that it is leaving, while its entry
// in the store stays ready.
struct LeavingFleet : TwoGatewayFleet {
  LeavingFleet() { this->upstreams.at("u1")->is_leaving = true; }

  // Sends requests until a gateway has passed on a response of u1.
  void SendUntilLeavingIsPassedOn(Gateway& gateway) {
    for (int i = 0; !dispatch::IsLeaving(gateway.dispatcher, {"u1"}); ++i) {
      BOOST_REQUIRE(i < 100);
      const std::string id =
          gateway.settings.name + "-until-" + std::to_string(i);
      BOOST_TEST(this->SendAndWait(gateway, {.request_id = id}).status == 200U);
    }
  }

  // Sends look-ups and orders, and returns how many requests of any kind u1 has
  // run meanwhile.
  int CountRunsAtU1(Gateway& gateway) {
    const int before = this->TotalRunsAtU1();
    for (int i = 0; i < 12; ++i) {
      const std::string id = "n" + std::to_string(this->next_number++);
      BOOST_TEST(
          this->SendAndWait(gateway, {.request_id = id, .is_order = i % 2 == 0})
              .status == 200U);
    }
    return this->TotalRunsAtU1() - before;
  }

  int TotalRunsAtU1() const {
    int runs = 0;
    for (const auto& [id, count] : this->upstreams.at("u1")->run_counts)
      runs += count;
    return runs;
  }

  Gateway& Dispatcher() {
    return fleet::RankMembers(this->first->view, "dispatch:s", 1,
                              base::TimePoint::max())
                       .front() == this->first->view.self
               ? *this->first
               : *this->second;
  }

  Gateway& Other(const Gateway& gateway) {
    return &gateway == this->first ? *this->second : *this->first;
  }

  int next_number = 0;
};

}  // namespace

// Guards against requests to an upstream that has said that it is leaving, from
// the gateway that has heard it and from others, whatever the store says.
BOOST_FIXTURE_TEST_CASE(UpstreamsThatSayTheyLeaveAreLeft, LeavingFleet) {
  this->SendUntilLeavingIsPassedOn(*this->first);
  for (Gateway* gateway : {this->first, this->second})
    BOOST_TEST(this->CountRunsAtU1(*gateway) == 0);
  this->WriteEntry(*this->upstreams.at("u1"), "ready");
  this->RunFor(milliseconds(800));
  for (Gateway* gateway : {this->first, this->second})
    BOOST_TEST(this->CountRunsAtU1(*gateway) == 0);
}

// Guards against the same while the store is away.
BOOST_FIXTURE_TEST_CASE(UpstreamsThatSayTheyLeaveAreLeftDuringOutages,
                        LeavingFleet) {
  standin::SetPlatformStoreMode(*this->store, PlatformStoreMode::kSilent);
  this->SendUntilLeavingIsPassedOn(*this->second);
  for (Gateway* gateway : {this->first, this->second})
    BOOST_TEST(this->CountRunsAtU1(*gateway) == 0);
}

// Guards against grants of a dispatcher that has not heard that the upstream is
// leaving: the gateway that has heard it returns them, and the dispatcher
// learns from that.
BOOST_FIXTURE_TEST_CASE(GrantsOfLeavingUpstreamsAreReturned, LeavingFleet) {
  Gateway& dispatcher = this->Dispatcher();
  Gateway& gateway = this->Other(dispatcher);
  LearnNotice(gateway, {"u1"}, {.is_leaving = true}, "x");
  BOOST_REQUIRE(!dispatch::IsLeaving(dispatcher.dispatcher, {"u1"}));
  BOOST_TEST(this->CountRunsAtU1(gateway) == 0);
  BOOST_TEST(dispatch::IsLeaving(dispatcher.dispatcher, {"u1"}));
}

// Guards against an upstream that is in use again because the dispatcher has
// failed and the next one has not heard that it is leaving.
BOOST_FIXTURE_TEST_CASE(LeavingUpstreamsStayLeftAfterHandOver, LeavingFleet) {
  Gateway& dispatcher = this->Dispatcher();
  Gateway& successor = this->Other(dispatcher);
  this->SendUntilLeavingIsPassedOn(successor);
  dispatcher.peer_channel->Close();
  BOOST_TEST(this->CountRunsAtU1(successor) == 0);
}

// Guards against further requests of a gateway to an upstream that has turned
// it away for some time, and against other gateways that leave the upstream,
// too.
BOOST_FIXTURE_TEST_CASE(PausesBindTheGatewayThatWasTurnedAway,
                        TwoGatewayFleet) {
  standin::PlatformUpstream& upstream = *this->upstreams.at("u1");
  upstream.retry_after = "600";
  upstream.refusals_left = 1;
  for (int i = 0; upstream.refusals_left > 0; ++i) {
    BOOST_REQUIRE(i < 100);
    this->SendAndWait(*this->first, {.request_id = "p" + std::to_string(i)});
  }
  const int count = upstream.request_count;
  for (int i = 0; i < 30; ++i) {
    const std::string id = "q" + std::to_string(i);
    BOOST_TEST(this->SendAndWait(*this->first,
                                 {.request_id = id, .is_order = i % 2 == 0})
                   .status == 200U);
  }
  BOOST_TEST(upstream.request_count == count);
  for (int i = 0; upstream.request_count == count; ++i) {
    BOOST_REQUIRE(i < 100);
    this->SendAndWait(*this->second, {.request_id = "r" + std::to_string(i)});
  }
}

// Guards against callers that wait although all upstreams have turned their
// gateway away, and against a wrong promise of when to return.
BOOST_FIXTURE_TEST_CASE(CallersHearHowLongUpstreamsWantNothing,
                        TwoGatewayFleet) {
  for (const auto& [id, upstream] : this->upstreams) {
    upstream->retry_after = "600";
    upstream->refusals_left = 1;
  }
  this->SendAndWait(*this->first, {.request_id = "o", .is_order = true});
  const CallerResponse response =
      this->SendAndWait(*this->first, {.request_id = "p", .is_order = true});
  BOOST_TEST(response.status == 503U);
  BOOST_REQUIRE(!response.retry_after.empty());
  const double retry_after_s = std::stod(response.retry_after);
  BOOST_TEST(retry_after_s <= 600);
  BOOST_TEST(retry_after_s > 500);
  BOOST_TEST(CountRuns(*this, "p") == 0);
  BOOST_TEST(
      this->SendAndWait(*this->second, {.request_id = "q", .is_order = true})
          .status == 200U);
}

// Guards against grants of a dispatcher that has not heard that an upstream
// wants no requests of a gateway.
BOOST_FIXTURE_TEST_CASE(GrantsOfPausingUpstreamsAreReturned, LeavingFleet) {
  this->upstreams.at("u1")->is_leaving = false;
  Gateway& gateway = this->Other(this->Dispatcher());
  LearnNotice(gateway, {"u1"}, {.pause = std::chrono::minutes(5)}, "x");
  BOOST_TEST(this->CountRunsAtU1(gateway) == 0);
}

// Guards against new requests to an upstream that drains, and against store
// entries that cannot be decoded and are nevertheless used as upstreams.
BOOST_FIXTURE_TEST_CASE(DrainingUpstreamsGetNoNewRequests, TwoGatewayFleet) {
  this->WriteEntry(*this->upstreams.at("u1"), "draining");
  BOOST_REQUIRE(this->RunUntil([this] {
    return this->first->view.upstreams.at({"u1"}).entry.phase ==
               fleet::UpstreamPhase::kDraining &&
           this->second->view.upstreams.at({"u1"}).entry.phase ==
               fleet::UpstreamPhase::kDraining;
  }));
  this->upstreams.at("u1")->run_counts.clear();
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(this->SendAndWait(i % 2 ? *this->first : *this->second,
                                 {.request_id = "d" + std::to_string(i)})
                   .status == 200U);
  BOOST_TEST(this->upstreams.at("u1")->run_counts.empty());
  standin::PutPlatformItem(*this->store, "servers/u1", "\xff no entry");
  standin::PutPlatformItem(*this->store, "servers/other", "{}");
  BOOST_TEST(this->RunUntil([this] {
    return HasUpstreamCount(*this->first, 1) &&
           HasUpstreamCount(*this->second, 1);
  }));
}

}  // namespace poplarfork::gateway
