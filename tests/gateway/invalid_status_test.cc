#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

#include "gateway/peer_driver.h"
#include "tests/gateway/fleet_fixture.h"
#include "tests/support/log_capture.h"

namespace poplarfork::gateway {

namespace {

using Fault = standin::PlatformUpstreamFault;

const std::string kStatusLines[] = {
    "HTTP/1.1 000 None", "HTTP/1.1 001 Low",
    "HTTP/1.1 099 Low",  "HTTP/1.1 600 High",
    "HTTP/1.1 999 High", "HTTP/1.1 2000 Four digits",
    "HTTP/1.1 abc",      "HTTP/1.1 -20 Sign",
    "HTTP/1.1  200 OK",  "HTTP/0.9 200 OK",
    "HTTP/1.1 ",         "HTTP/1.1 101 Switching Protocols"};

// Fleet of one gateway whose first upstream sends invalid status lines.
struct InvalidStatusFleet : FleetFixture {
  InvalidStatusFleet() {
    this->WriteConfiguration(1);
    this->faulty = &this->AddUpstream("u1");
    this->gateway = &this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return IsAccepting(*this->gateway) &&
             this->gateway->view.upstreams.size() == 1;
    }));
    this->faulty->fault = Fault::kStatusLine;
  }

  standin::PlatformUpstream* faulty = nullptr;
  Gateway* gateway = nullptr;
};

}  // namespace

// Guards against invalid responses that reach callers, and against orders that
// run again, or count as not run, because their response was invalid.
BOOST_FIXTURE_TEST_CASE(OrdersWithInvalidResponsesRunOnce, InvalidStatusFleet) {
  std::string logged;
  std::uint64_t sent = 0;
  for (const std::string& line : kStatusLines) {
    const std::string id = "order-" + std::to_string(sent++);
    this->faulty->status_line = line;
    const support::LogCapture logs;
    const CallerResponse response =
        this->SendAndWait(*this->gateway, {.request_id = id, .is_order = true});
    logged = logs.Text();
    BOOST_TEST_CONTEXT(line) {
      BOOST_TEST(response.status == 502U);
      BOOST_TEST(response.body.find("bad_answer") != std::string::npos);
      BOOST_TEST(this->faulty->run_counts[id] == 1);
      BOOST_TEST(logged.find("\"upstream\":\"u1\"") != std::string::npos);
      BOOST_TEST(logged.find("\"result\":\"bad_answer\"") != std::string::npos);
    }
  }
  BOOST_TEST(this->gateway->metrics.counters["malformed_responses_total"] ==
             sent);
}

// Guards against look-ups that fail, although another upstream could serve
// them, because one sends invalid responses.
BOOST_FIXTURE_TEST_CASE(LookUpsWithInvalidResponsesAreRetried,
                        InvalidStatusFleet) {
  this->AddUpstream("u2");
  BOOST_REQUIRE(this->RunUntil(
      [this] { return this->gateway->view.upstreams.size() == 2; }));
  int sent = 0;
  for (const std::string& line : kStatusLines) {
    this->faulty->status_line = line;
    const std::string id = "look-" + std::to_string(sent++);
    const CallerResponse response =
        this->SendAndWait(*this->gateway, {.request_id = id});
    BOOST_TEST_CONTEXT(line) {
      BOOST_TEST(response.status == 200U);
      BOOST_TEST(response.body == "answer to " + id);
    }
  }
}

}  // namespace poplarfork::gateway
