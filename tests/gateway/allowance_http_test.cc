#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "allowance/owner_func.h"
#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/peer_driver.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kRate = 10;
const std::string kLimitedKey = "key-limited";
const std::string kFreeKey = "key-free";

// Three gateways, one upstream and two accounts of which one has a limit.
struct LimitedAccountFleet : FleetFixture {
  LimitedAccountFleet() {
    this->accounts = std::map<std::string, FixtureAccount>{
        {"limited",
         {.keys = {kLimitedKey}, .rate_per_second = kRate, .burst = kRate}},
        {"free", {.keys = {kFreeKey}}}};
    this->WriteConfiguration(1);
    this->AddUpstream("u1");
    for (int i = 0; i < 3; ++i)
      this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return std::all_of(this->gateways.begin(), this->gateways.end(),
                         [](const auto& gateway) {
                           return gateway->view.members.size() == 3 &&
                                  gateway->view.upstreams.size() == 1 &&
                                  IsAccepting(*gateway);
                         });
    }));
  }

  // Sends one request through the gateways in turn.
  std::shared_ptr<CallerResponse> SendNext(const std::string& key) {
    const std::size_t number = this->responses.size();
    Gateway& gateway = *this->callers_use[number % this->callers_use.size()];
    auto response = this->Send(gateway, {.request_id = std::to_string(number),
                                         .authorization = {"Token " + key}});
    this->responses.push_back(response);
    return response;
  }

  void SendAtInterval(int count, milliseconds interval) {
    for (int i = 0; i < count; ++i) {
      this->SendNext(kLimitedKey);
      this->RunFor(interval);
    }
    BOOST_REQUIRE(this->RunUntil([this] {
      return std::all_of(this->responses.begin(), this->responses.end(),
                         [](const auto& response) { return response->ended; });
    }));
  }

  std::size_t CountStatus(unsigned status) const {
    return static_cast<std::size_t>(std::count_if(
        this->responses.begin(), this->responses.end(),
        [status](const auto& response) { return response->status == status; }));
  }

  bool HasRun(std::size_t number) const {
    return this->upstreams.at("u1")->run_counts.contains(
        std::to_string(number));
  }

  // Checks that each request was either run and served, or refused with 429 and
  // a time to try again and not run.
  void CheckResponses() const {
    for (std::size_t i = 0; i < this->responses.size(); ++i) {
      const CallerResponse& response = *this->responses[i];
      BOOST_TEST_CONTEXT("request " << i << ": " << response.body) {
        BOOST_TEST((response.status == 200 || response.status == 429));
        BOOST_TEST(this->HasRun(i) == (response.status == 200));
        if (response.status == 429)
          BOOST_TEST(std::atof(response.retry_after.c_str()) > 0);
      }
    }
  }

  // Gateways that the callers send requests to.
  std::vector<Gateway*> callers_use;
  std::vector<std::shared_ptr<CallerResponse>> responses;
};

struct AllGatewaysFleet : LimitedAccountFleet {
  AllGatewaysFleet() {
    for (const auto& gateway : this->gateways)
      this->callers_use.push_back(gateway.get());
  }
};

}  // namespace

// Guards against requests over the limit of their account that run, and against
// 429 without the time to try again.
BOOST_FIXTURE_TEST_CASE(ExcessRequestsOfAnAccountGet429AndDoNotRun,
                        AllGatewaysFleet) {
  const base::TimePoint started_at = clock::Now();
  this->SendAtInterval(150, milliseconds(10));
  const double seconds =
      std::chrono::duration<double>(clock::Now() - started_at).count();
  this->CheckResponses();
  BOOST_TEST(this->CountStatus(429) > 0U);
  BOOST_TEST(static_cast<double>(this->CountStatus(200)) <=
             (kRate * seconds + kRate) * 1.1 + 20);
  // Another account is served meanwhile.
  const auto response = this->SendNext(kFreeKey);
  BOOST_REQUIRE(this->RunUntil([&response] { return response->ended; }));
  BOOST_TEST(response->status == 200U);
}

// Guards against 429 for an account that stays within its limit.
BOOST_FIXTURE_TEST_CASE(RequestsWithinTheLimitOfAnAccountAreServed,
                        AllGatewaysFleet) {
  this->SendAtInterval(15, milliseconds(200));
  this->CheckResponses();
  BOOST_TEST(this->CountStatus(200) == this->responses.size());
}

// Guards against an account that gets other responses than 200 and 429, or no
// 200 any more, when the owner of its tokens stops without notice.
BOOST_FIXTURE_TEST_CASE(AccountIsServedWhenTheOwnerOfItsTokensStops,
                        LimitedAccountFleet) {
  const base::DaemonId owner =
      fleet::RankMembers(this->gateways.front()->view,
                         allowance::GroupKey(allowance::GroupOf({"limited"})),
                         1, clock::Now())
          .front();
  Gateway* stopped = nullptr;
  for (const auto& gateway : this->gateways) {
    if (gateway->view.self == owner)
      stopped = gateway.get();
    else
      this->callers_use.push_back(gateway.get());
  }
  BOOST_REQUIRE(stopped);
  this->SendAtInterval(40, milliseconds(20));
  stopped->peer_channel->Close();
  stopped->hello_timer.cancel();
  const std::size_t served_before = this->CountStatus(200);
  this->SendAtInterval(200, milliseconds(20));
  this->CheckResponses();
  BOOST_TEST(this->CountStatus(200) >= served_before + 10);
}

}  // namespace poplarfork::gateway
