#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>

#include "clock/now_func.h"
#include "gateway/peer_driver.h"
#include "gateway/shutdown.h"
#include "soak/limit_check_func.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kLimit = 2;

// Fleet whose upstreams take two requests a second each.
struct LimitedFleet : FleetFixture {
  LimitedFleet() {
    this->WriteConfiguration(1);
    for (const char* id : {"u1", "u2", "u3"})
      this->AddUpstream(id).rate_limit = std::to_string(kLimit);
    for (int i = 0; i < 3; ++i)
      this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return std::all_of(this->gateways.begin(), this->gateways.end(),
                         [](const auto& gateway) {
                           return gateway->view.members.size() == 3 &&
                                  IsAccepting(*gateway);
                         });
    }));
  }

  // Sends 60 look-ups and orders a second to the gateways for some time.
  void SendRequests(milliseconds time, std::size_t gateway_count) {
    const auto end = clock::Now() + time;
    while (clock::Now() < end) {
      CallerRequest request{.request_id = std::to_string(this->sent),
                            .is_order = this->sent % 2 == 0,
                            .deadline_ms = "1000"};
      this->Send(*this->gateways[this->sent % gateway_count], request);
      ++this->sent;
      this->RunFor(milliseconds(16));
    }
  }

  // Returns the most requests that an upstream got in one window.
  std::size_t MostArrivals(std::chrono::steady_clock::time_point since) const {
    std::size_t most = 0;
    for (const auto& [id, upstream] : this->upstreams)
      most =
          std::max(most, soak::MostArrivals(upstream->arrivals, since,
                                            std::chrono::steady_clock::now()));
    return most;
  }

  std::size_t sent = 0;
};

}  // namespace

// Guards against upstreams that get more requests than the limit that they
// state, whichever gateways the requests come from.
BOOST_FIXTURE_TEST_CASE(StatedLimitsAreKept, LimitedFleet) {
  const auto limited_since =
      std::chrono::steady_clock::now() + soak::kLimitLearningTime;
  this->SendRequests(milliseconds(8000), 3);
  BOOST_TEST(this->MostArrivals(limited_since) <=
             soak::AllowedArrivals(kLimit));
  BOOST_TEST(this->MostArrivals(limited_since) >= kLimit * 2);
}

// Guards against a dispatcher that does not know the limits which the one
// before it has kept to.
BOOST_FIXTURE_TEST_CASE(StatedLimitsAreKeptAfterHandOver, LimitedFleet) {
  const auto limited_since =
      std::chrono::steady_clock::now() + soak::kLimitLearningTime;
  this->SendRequests(milliseconds(4000), 3);
  // Each gateway dispatches in turn.
  StartDrain(*this->gateways[2]);
  this->SendRequests(milliseconds(2000), 2);
  StartDrain(*this->gateways[1]);
  this->SendRequests(milliseconds(4000), 1);
  BOOST_TEST(this->MostArrivals(limited_since) <=
             soak::AllowedArrivals(kLimit));
}

}  // namespace poplarfork::gateway
