#include <boost/test/unit_test.hpp>

#include <string>

#include "gateway/peer_driver.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

namespace {

using Fault = standin::PlatformUpstreamFault;

// Fleet of two gateways that may hedge, whose dispatchers know how long
// requests take.
struct HedgingFleet : FleetFixture {
  HedgingFleet() {
    this->WriteConfiguration(1);
    for (const char* id : {"u1", "u2", "u3"})
      this->AddUpstream(id);
    for (int i = 0; i < 2; ++i)
      this->AddGateway().dispatcher.settings.hedge_share = 1;
    BOOST_REQUIRE(this->RunUntil([this] {
      for (const auto& gateway : this->gateways) {
        if (!IsAccepting(*gateway) || gateway->view.members.size() != 2 ||
            gateway->view.upstreams.size() != 3)
          return false;
      }
      return true;
    }));
    for (int i = 0; i < 80; ++i)
      this->Look();
  }

  // Sends a look-up, which must be answered, and returns its id.
  std::string Look() {
    std::string id = "look-" + std::to_string(this->sent++);
    const CallerResponse response =
        this->SendAndWait(*this->gateways[this->sent % 2], {.request_id = id});
    BOOST_TEST(response.status == 200U, id << " got " << response.status);
    BOOST_TEST(response.body == "answer to " + id);
    return id;
  }

  std::uint64_t CountHedges(const std::string& event) const {
    std::uint64_t count = 0;
    for (const auto& gateway : this->gateways) {
      const auto found = gateway->metrics.counters.find(
          "hedges_total{event=\"" + event + "\"}");
      count += found == gateway->metrics.counters.end() ? 0 : found->second;
    }
    return count;
  }

  // Returns the number of runs that all upstreams have started and whose
  // connection was closed before the response.
  int CountAbandonedRuns() const {
    int runs = 0;
    for (const auto& [upstream_id, upstream] : this->upstreams)
      runs += upstream->abandoned_runs;
    return runs;
  }

  int CountRuns(const std::string& request_id) const {
    int runs = 0;
    for (const auto& [upstream_id, upstream] : this->upstreams) {
      const auto found = upstream->run_counts.find(request_id);
      runs += found == upstream->run_counts.end() ? 0 : found->second;
    }
    return runs;
  }

  std::size_t sent = 0;
};

}  // namespace

// Guards against a look-up that waits for an upstream that hangs while others
// respond, and against a hanging upstream that goes on working on it.
BOOST_FIXTURE_TEST_CASE(LookUpsAreAnsweredByAnotherUpstream, HedgingFleet) {
  standin::PlatformUpstream& hanging = *this->upstreams.at("u1");
  hanging.fault = Fault::kHang;
  const int runs_before = static_cast<int>(hanging.run_counts.size());
  const int abandoned_before = hanging.abandoned_runs;
  const std::uint64_t won_before = this->CountHedges("won");
  for (int i = 0; i < 100 && this->CountHedges("won") == won_before; ++i)
    this->Look();
  BOOST_TEST(this->CountHedges("won") > won_before);
  const int hanging_runs =
      static_cast<int>(hanging.run_counts.size()) - runs_before;
  BOOST_TEST(hanging_runs > 0);
  BOOST_TEST(this->RunUntil([&] {
    return hanging.abandoned_runs - abandoned_before == hanging_runs;
  }));
  for (const auto& gateway : this->gateways)
    BOOST_TEST(gateway->requests.empty());
}

// Guards against an order that is sent to a second upstream while the first
// one hangs.
BOOST_FIXTURE_TEST_CASE(OrdersAreNeverHedged, HedgingFleet) {
  for (const auto& [id, upstream] : this->upstreams)
    upstream->fault = Fault::kHang;
  const std::uint64_t asked_before = this->CountHedges("asked");
  // After more than two, the upstreams would be suspended.
  for (int i = 0; i < 2; ++i) {
    const std::string id = "order-" + std::to_string(i);
    const CallerResponse response = this->SendAndWait(
        *this->gateways[0],
        {.request_id = id, .is_order = true, .deadline_ms = "800"});
    BOOST_TEST(response.status == 504U);
    BOOST_TEST(this->CountRuns(id) == 1, id);
  }
  BOOST_TEST(this->CountHedges("asked") == asked_before);
}

// Guards against a caller that leaves while two attempts run, one of which then
// goes on.
BOOST_FIXTURE_TEST_CASE(BothAttemptsEndWithTheCaller, HedgingFleet) {
  for (const auto& [id, upstream] : this->upstreams)
    upstream->fault = Fault::kHang;
  const int abandoned_before = this->CountAbandonedRuns();
  this->Send(*this->gateways[0],
             {.request_id = "left", .deadline_ms = "30000"});
  BOOST_REQUIRE(
      this->RunUntil([this] { return this->CountRuns("left") == 2; }));
  this->DisconnectCallers();
  BOOST_TEST(this->RunUntil(
      [&] { return this->CountAbandonedRuns() - abandoned_before == 2; }));
  BOOST_TEST(this->gateways[0]->requests.empty());
}

}  // namespace poplarfork::gateway
