#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/shutdown.h"
#include "standin/http_server_func.h"
#include "tests/gateway/two_gateway_fixture.h"

namespace poplarfork::gateway {

namespace {

using Fault = standin::PlatformUpstreamFault;
using std::chrono::milliseconds;

}  // namespace

// Guards against a shutdown that breaks off requests in progress or accepts
// requests that it cannot finish, and against callers that are still sent to a
// gateway that drains.
BOOST_FIXTURE_TEST_CASE(DrainingGatewaysFinishRequests, TwoGatewayFleet) {
  this->upstreams.at("u1")->service_time = milliseconds(400);
  this->upstreams.at("u2")->service_time = milliseconds(400);
  const auto response =
      this->Send(*this->first, {.request_id = "o", .is_order = true});
  BOOST_REQUIRE(this->RunUntil([this] { return CountRuns(*this, "o") == 1; }));
  StartDrain(*this->first);
  BOOST_TEST(
      this->Get(this->first->settings.ready_address, "/readiness").status ==
      503U);
  BOOST_REQUIRE(this->RunUntil([&response] { return response->ended; }));
  BOOST_TEST(response->status == 200U);
  // Callers that still use the address of the draining gateway are served.
  BOOST_TEST(this->SendAndWait(*this->first, {.request_id = "late"}).status ==
             200U);
  BOOST_TEST(this->RunUntil([this] {
    return !fleet::IsEligible(
               this->second->view, this->first->view.self,
               this->second->view.members.at(this->second->view.self)
                   .last_heard_at) ||
           this->second->view.members.at(this->first->view.self).removed;
  }));
  const std::string addresses =
      this->Get(this->second->settings.directory_address,
                "/resolve?name=f.example&region=r&zone=a")
          .body;
  BOOST_TEST(addresses.find(this->first->settings.front_address) ==
             std::string::npos);
  BOOST_TEST(addresses.find(this->second->settings.front_address) !=
             std::string::npos);
}

// Guards against requests that are cut without an answer at the end of the
// grace time, those in progress at its start and those accepted during it.
BOOST_FIXTURE_TEST_CASE(DrainingGatewaysAnswerBeforeTheyStop, TwoGatewayFleet) {
  constexpr milliseconds kGraceTime(2000);
  this->first->settings.grace_time = kGraceTime;
  this->SetFault(Fault::kHang);
  const auto earlier =
      this->Send(*this->first,
                 {.request_id = "e", .is_order = true, .deadline_ms = "5000"});
  BOOST_REQUIRE(this->RunUntil([this] { return CountRuns(*this, "e") == 1; }));
  StartDrain(*this->first);
  const base::TimePoint stops_at = clock::Now() + kGraceTime;
  const auto later =
      this->Send(*this->first,
                 {.request_id = "l", .is_order = true, .deadline_ms = "5000"});
  BOOST_REQUIRE(this->RunUntil([&] { return earlier->ended && later->ended; }));
  BOOST_TEST((clock::Now() < stops_at));
  BOOST_TEST(earlier->status == 504U);
  BOOST_TEST(later->status == 504U);
}

// Guards against a shutdown that breaks off look-ups on reused connections to
// upstreams that work for longer than the silence timeout.
BOOST_FIXTURE_TEST_CASE(DrainingGatewaysAwaitLongWork, TwoGatewayFleet) {
  for (int i = 0; i < 8; ++i)
    this->SendAndWait(*this->first, {.request_id = "w" + std::to_string(i)});
  this->first->upstream_pool.limits.silence_timeout = milliseconds(100);
  for (const auto& [id, upstream] : this->upstreams)
    upstream->service_time = milliseconds(700);
  const auto response =
      this->Send(*this->first, {.request_id = "l", .deadline_ms = "5000"});
  BOOST_REQUIRE(this->RunUntil([this] { return CountRuns(*this, "l") == 1; }));
  StartDrain(*this->first);
  BOOST_REQUIRE(this->RunUntil([&response] { return response->ended; }));
  BOOST_TEST(response->status == 200U);
}

// Guards against a look-up that is lost although an upstream works on it: its
// first attempt was given up for a second one, whose connection then broke.
BOOST_FIXTURE_TEST_CASE(DrainingGatewaysKeepSlowAttempts, TwoGatewayFleet) {
  // The dispatcher learns how long requests take, and so when to retry.
  for (int i = 0; i < 40; ++i)
    this->SendAndWait(*this->first, {.request_id = "w" + std::to_string(i)});
  // The upstream of the first attempt responds after the second one has failed.
  standin::HttpConnectionPtr working;
  boost::asio::steady_timer work(this->loop);
  for (const auto& [id, upstream] : this->upstreams) {
    upstream->on_run = [&](const standin::HttpConnectionPtr& connection,
                           const std::string&) {
      if (!working) {
        working = connection;
        return true;
      }
      standin::ResetConnection(connection);
      work.expires_after(milliseconds(100));
      work.async_wait([&working](const auto&) {
        standin::SendBytes(
            working,
            "HTTP/1.1 200 OK\r\nAttempt-Id: l\r\n"
            "Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
            [working](bool) { FinishResponse(working); });
      });
      return true;
    };
  }
  const auto response =
      this->Send(*this->first, {.request_id = "l", .deadline_ms = "10000"});
  BOOST_REQUIRE(this->RunUntil([this] { return CountRuns(*this, "l") == 1; }));
  StartDrain(*this->first);
  BOOST_REQUIRE(this->RunUntil([&response] { return response->ended; }));
  BOOST_TEST(CountRuns(*this, "l") == 2);
  BOOST_TEST(response->status == 200U);
}

// Guards against requests that are accepted late in the grace time although
// they may take longer than the rest of it.
BOOST_FIXTURE_TEST_CASE(DrainingGatewaysAcceptWhatTheyCanFinish,
                        TwoGatewayFleet) {
  this->first->settings.grace_time = std::chrono::seconds(10);
  StartDrain(*this->first);
  this->first->drain_started_at -= milliseconds(4600);
  BOOST_TEST(this->SendAndWait(*this->first, {.request_id = "long",
                                              .is_order = true,
                                              .deadline_ms = "7000"})
                 .status == 503U);
  BOOST_TEST(CountRuns(*this, "long") == 0);
  BOOST_TEST(this->SendAndWait(*this->first, {.request_id = "short",
                                              .is_order = true,
                                              .deadline_ms = "3000"})
                 .status == 200U);
}

}  // namespace poplarfork::gateway
