#include <boost/test/unit_test.hpp>

#include "base/error_func.h"
#include "bench/load_report_func.h"
#include "bench/load_run_func.h"
#include "tests/standin/upstream_fixture.h"

namespace poplarfork::bench {

namespace {

struct LoadFixture : standin::UpstreamFixture {
  LoadFixture() {
    this->options.targets = {
        standin::ListeningAddress(*this->upstream->server)};
    this->options.connections_per_target = 3;
    this->options.max_requests = 60;
    this->options.warm_up_time = {};
    this->options.path = "/orders";
    this->options.sends_idempotency_keys = true;
    this->options.verifies_responses = true;
  }

  TargetResult RunSingleTarget() const {
    return RunLoad(this->options).value().at(0);
  }

  LoadOptions options;
};

}  // namespace

// Guards against a run that sends more requests than `max_requests`, and
// against a check that rejects valid responses.
BOOST_FIXTURE_TEST_CASE(ValidResponsesPassVerification, LoadFixture) {
  const TargetResult orders = this->RunSingleTarget();
  BOOST_TEST(orders.completed_requests == 60U);
  BOOST_TEST(orders.counts_by_status.at(200) == 60U);
  BOOST_TEST(IsVerified(orders));
  this->options.path = "/body?bytes=70001";
  const TargetResult bodies = this->RunSingleTarget();
  BOOST_TEST(bodies.response_bytes == 60U * 70001U);
  BOOST_TEST(IsVerified(bodies));
}

// Guards against a check that accepts the response to another request.
BOOST_FIXTURE_TEST_CASE(CrossedResponsesAreDetected, LoadFixture) {
  this->SetFault(R"({"kind":"crossed","with_id":"own"})");
  BOOST_TEST(this->RunSingleTarget().wrong_content_responses >= 58U);
  this->options.path = "/body?bytes=3000";
  BOOST_TEST(this->RunSingleTarget().wrong_content_responses >= 58U);
}

// Guards against a truncated response that is counted as complete.
BOOST_FIXTURE_TEST_CASE(TruncatedResponsesAreErrors, LoadFixture) {
  this->SetFault(R"({"kind":"cut_body","count":5})");
  this->options.path = "/body?bytes=3000";
  const TargetResult result = this->RunSingleTarget();
  BOOST_TEST(result.connection_errors == 5U);
  BOOST_TEST(result.completed_requests == 55U);
}

// Guards against a run that waits forever for a target that hangs.
BOOST_FIXTURE_TEST_CASE(HangingTargetTimesOut, LoadFixture) {
  this->SetFault(R"({"kind":"hang","count":3})");
  this->options.request_timeout = std::chrono::milliseconds(100);
  const TargetResult result = this->RunSingleTarget();
  BOOST_TEST(result.timeouts == 3U);
  BOOST_TEST(result.completed_requests == 57U);
}

// Guards against a run that leaves out one of several targets.
BOOST_FIXTURE_TEST_CASE(TargetsTakeTurns, LoadFixture) {
  this->options.targets.push_back(this->options.targets[0]);
  this->options.slice_time = std::chrono::milliseconds(5);
  this->options.requests_per_second = 2000.0;
  const auto results = RunLoad(this->options).value();
  BOOST_TEST(results.at(0).completed_requests == 60U);
  BOOST_TEST(results.at(1).completed_requests == 60U);
}

// Guards against load on other machines and against unbounded runs.
BOOST_FIXTURE_TEST_CASE(LimitsAreEnforced, LoadFixture) {
  this->options.targets = {"192.0.2.1:80"};
  BOOST_TEST(
      (RunLoad(this->options).error().code == base::ErrorCode::kOutOfRange));
  this->options.targets = {"127.0.0.1"};
  BOOST_TEST(
      (RunLoad(this->options).error().code == base::ErrorCode::kMalformed));
  this->options.targets = {"127.0.0.1:1"};
  this->options.duration = std::chrono::hours(1);
  BOOST_TEST(!RunLoad(this->options).has_value());
}

// Guards against coordinated omission: the intended send time of a request must
// not depend on earlier responses.
BOOST_AUTO_TEST_CASE(IntendedSendTimesAreFixed) {
  const base::TimePoint start{base::Duration(5)};
  BOOST_TEST(IntendedSendTime(start, 80.0, 0).time_since_epoch().count() == 5);
  BOOST_TEST(IntendedSendTime(start, 80.0, 160).time_since_epoch().count() ==
             2'000'005);
}

// Guards against quantiles that are wrong by more than one bin.
BOOST_AUTO_TEST_CASE(QuantilesAreWithinOneBin) {
  LatencyHistogram histogram = MakeLatencyHistogram();
  BOOST_TEST(Quantile(histogram, 0.99).count() == 0);
  for (int value = 1; value <= 1000; ++value)
    AddLatency(histogram, base::Duration(value * 100));
  BOOST_TEST(Quantile(histogram, 0.5).count() / 50000.0 == 1.0,
             boost::test_tools::tolerance(0.006));
  BOOST_TEST(Quantile(histogram, 0.99).count() / 99000.0 == 1.0,
             boost::test_tools::tolerance(0.006));
}

}  // namespace poplarfork::bench
