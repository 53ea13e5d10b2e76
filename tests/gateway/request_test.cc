#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>

#include "fleet/view_func.h"
#include "gateway/peer_driver.h"
#include "tests/gateway/two_gateway_fixture.h"

namespace poplarfork::gateway {

namespace {

using Fault = standin::PlatformUpstreamFault;

// Returns the crashes that the dispatchers have counted for one request.
int CountedCrashes(const FleetFixture& fleet) {
  std::uint32_t crashes = 0;
  for (const auto& gateway : fleet.gateways) {
    for (const auto& [fingerprint, record] : gateway->dispatcher.crashes)
      crashes = std::max(crashes, record.crashes);
  }
  return static_cast<int>(crashes);
}

}  // namespace

// Guards against a request or a response that is modified or mixed up with
// another one on its way through a gateway.
BOOST_FIXTURE_TEST_CASE(RequestsAreServed, TwoGatewayFleet) {
  for (Gateway* gateway : {this->first, this->second}) {
    const std::string id = "a" + gateway->settings.name;
    const CallerResponse response =
        this->SendAndWait(*gateway, {.request_id = id});
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "answer to " + id);
  }
  const CallerResponse order_response =
      this->SendAndWait(*this->first, {.request_id = "o", .is_order = true});
  BOOST_TEST(order_response.status == 200U);
  BOOST_TEST(CountRuns(*this, "o") == 1);
}

// Guards against a gateway without a configuration that responds with 404 to a
// request for which the configuration may have a route.
BOOST_AUTO_TEST_CASE(RequestsWithoutConfigurationGet503) {
  FleetFixture fleet;
  Gateway& gateway = fleet.AddGateway();
  const CallerResponse early_response =
      fleet.SendAndWait(gateway, {.request_id = "a"});
  BOOST_TEST(early_response.status == 503U);
  BOOST_TEST(!early_response.retry_after.empty());
  BOOST_TEST(fleet.Get(gateway.settings.ready_address, "/readiness").status ==
             503U);
  fleet.AddUpstream("u1");
  fleet.WriteConfiguration(1);
  BOOST_REQUIRE(fleet.RunUntil(
      [&] { return IsAccepting(gateway) && HasUpstreamCount(gateway, 1); }));
  BOOST_TEST(fleet.Get(gateway.settings.ready_address, "/readiness").status ==
             200U);
  BOOST_TEST(fleet.SendAndWait(gateway, {.request_id = "b", .target = "/no/"})
                 .status == 404U);
  BOOST_TEST(fleet.SendAndWait(gateway, {.request_id = "c"}).status == 200U);
}

// Guards against a request that is not repeatable (an order) but runs twice,
// and against a 503 for one that ran, whatever fault the upstream has.
BOOST_FIXTURE_TEST_CASE(OrdersRunAtMostOnce, TwoGatewayFleet) {
  const std::pair<Fault, unsigned> cases[] = {
      {Fault::kReset, 502},          {Fault::kUnsigned, 502},
      {Fault::kWrongRequestId, 502}, {Fault::kTruncatedBody, 502},
      {Fault::kError, 500},          {Fault::kUnavailableWithoutPromise, 502},
      {Fault::kHang, 504},
  };
  int next_number = 0;
  for (const auto& [fault, status] : cases) {
    this->SetFault(fault);
    const std::string id = "order-" + std::to_string(next_number++);
    const CallerResponse response = this->SendAndWait(
        *this->first,
        {.request_id = id, .is_order = true, .deadline_ms = "400"});
    BOOST_TEST(response.status == status, id << " got " << response.status);
    BOOST_TEST(CountRuns(*this, id) == 1, id);
  }
}

// Guards against a repeatable request (a look-up) that fails because one of the
// upstreams fails.
BOOST_FIXTURE_TEST_CASE(RepeatableRequestsAreRetriedOnAnotherUpstream,
                        TwoGatewayFleet) {
  const Fault faults[] = {Fault::kReset,          Fault::kUnsigned,
                          Fault::kWrongRequestId, Fault::kTruncatedBody,
                          Fault::kError,          Fault::kShed};
  int next_number = 0;
  for (const Fault fault : faults) {
    this->upstreams.at("u1")->fault = fault;
    for (int i = 0; i < 4; ++i) {
      const std::string id = "look-" + std::to_string(next_number++);
      const CallerResponse response =
          this->SendAndWait(*this->first, {.request_id = id});
      BOOST_TEST(response.status == 200U, id << " got " << response.status);
      BOOST_TEST(response.body == "answer to " + id);
    }
  }
}

// Guards against a second response on a connection that is mistaken for the
// response to the next request.
BOOST_FIXTURE_TEST_CASE(DuplicateResponsesAreDiscarded, TwoGatewayFleet) {
  this->SetFault(Fault::kDuplicateResponse);
  for (int i = 0; i < 6; ++i) {
    const CallerResponse response = this->SendAndWait(
        *this->first, {.request_id = "t" + std::to_string(i)});
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "all");
  }
}

// Guards against callers that are told that their requests have not run, and
// orders that run again, because an upstream repeats the refusal of an earlier
// request on a kept connection.
BOOST_FIXTURE_TEST_CASE(RepeatedRefusalsPromiseNothing, TwoGatewayFleet) {
  this->SetFault(Fault::kRepeatedRefusal);
  int orders_run = 0;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "r" + std::to_string(i);
    const CallerResponse response = this->SendAndWait(
        *this->first, {.request_id = id, .is_order = i % 3 == 2});
    const int runs = CountRuns(*this, id);
    BOOST_TEST((runs == 0 || response.status == 502),
               id << " got " << response.status << " after " << runs);
    if (i % 3 == 2) {
      BOOST_TEST(runs <= 1, id);
      orders_run += runs;
    }
  }
  BOOST_TEST(orders_run >= 3);
}

// Guards against a caller that is not told with a 503 and a Retry-After field
// that its request did not run, after every upstream refused the request, and
// against this promise being false.
BOOST_FIXTURE_TEST_CASE(OrdersShedByAllUpstreamsGet503, TwoGatewayFleet) {
  this->SetFault(Fault::kShed);
  const CallerResponse response =
      this->SendAndWait(*this->first, {.request_id = "o", .is_order = true});
  BOOST_TEST(response.status == 503U);
  BOOST_TEST(!response.retry_after.empty());
  BOOST_TEST(CountRuns(*this, "o") == 0);
}

// Guards against a request that crashes one upstream after the other, because
// nobody notices that the upstreams are gone while others have room.
BOOST_FIXTURE_TEST_CASE(CrashingRequestsAreContained, TwoGatewayFleet) {
  constexpr std::size_t kAdded = 14;
  for (std::size_t i = 0; i < kAdded; ++i)
    this->AddUpstream("added" + std::to_string(i));
  for (const auto& [id, upstream] : this->upstreams)
    upstream->crash_path = "/look/crash";
  BOOST_REQUIRE(this->RunUntil([this] {
    return HasUpstreamCount(*this->first, kAdded + 2) &&
           HasUpstreamCount(*this->second, kAdded + 2);
  }));
  int crashes = 0;
  for (int i = 0; i < 7; ++i) {
    Gateway& gateway = i % 2 == 0 ? *this->first : *this->second;
    const std::string id = "crash-" + std::to_string(i);
    this->SendAndWait(gateway, {.request_id = id, .target = "/look/crash"});
    crashes += CountRuns(*this, id);
    BOOST_REQUIRE(this->RunUntil(
        [&] { return CountedCrashes(*this) >= std::min(crashes, 3); }));
  }
  BOOST_TEST(crashes <= 4);
  BOOST_TEST(this->SendAndWait(*this->second, {.request_id = "look"}).status ==
             200U);
  BOOST_TEST(
      this->SendAndWait(*this->first, {.request_id = "o", .is_order = true})
          .status == 200U);
}

// Guards against upstreams that go on working on a request whose caller has
// closed its connection.
BOOST_FIXTURE_TEST_CASE(RequestsAreCancelledWhenTheCallerDisconnects,
                        TwoGatewayFleet) {
  this->SetFault(Fault::kHang);
  this->Send(*this->first, {.request_id = "left", .is_order = true});
  BOOST_REQUIRE(
      this->RunUntil([this] { return CountRuns(*this, "left") == 1; }));
  this->DisconnectCallers();
  BOOST_TEST(this->RunUntil([this] {
    return this->upstreams.at("u1")->abandoned_runs +
               this->upstreams.at("u2")->abandoned_runs ==
           1;
  }));
  BOOST_TEST(this->first->requests.empty());
}

// Guards against requests that fail because the dispatcher of their service has
// failed and no other daemon takes its place.
BOOST_FIXTURE_TEST_CASE(AnotherDaemonReplacesFailedDispatcher,
                        TwoGatewayFleet) {
  const auto dispatcher_id = fleet::RankMembers(this->first->view, "dispatch:s",
                                                1, base::TimePoint::max())
                                 .front();
  Gateway& stopped =
      dispatcher_id == this->first->view.self ? *this->first : *this->second;
  Gateway& remaining =
      dispatcher_id == this->first->view.self ? *this->second : *this->first;
  stopped.peer_channel->Close();
  const CallerResponse response =
      this->SendAndWait(remaining, {.request_id = "x"});
  BOOST_TEST(response.status == 200U);
}

// Guards against metrics that operators use and that are no longer exported.
BOOST_FIXTURE_TEST_CASE(MetricsAreServed, TwoGatewayFleet) {
  this->SendAndWait(*this->first, {.request_id = "m"});
  const CallerResponse metrics_response =
      this->Get(this->first->settings.control_address, "/metrics");
  BOOST_TEST(metrics_response.status == 200U);
  BOOST_TEST(metrics_response.body.find(
                 "requests_total{service=\"s\",outcome=\"served\"} 1") !=
             std::string::npos);
  BOOST_TEST(metrics_response.body.find("request_duration") !=
             std::string::npos);
}

}  // namespace poplarfork::gateway
