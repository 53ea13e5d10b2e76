#include <boost/test/unit_test.hpp>

#include "standin/body_content_func.h"
#include "standin/byte_range_func.h"
#include "tests/standin/upstream_fixture.h"

namespace poplarfork::standin {

// Guards against an upstream that runs more requests than it has slots, or that
// sheds a request without a Retry-After header.
BOOST_FIXTURE_TEST_CASE(FullUpstreamShedsRequests, UpstreamFixture) {
  UpstreamOptions options;
  options.slots = 1;
  options.max_queued_requests = 0;
  this->Restart(options);
  RawClient first = this->Connect();
  first.Send("GET", "/?service_ms=300", "Idempotency-Key: first\r\n");
  this->WaitForRun("first",
                   [](const RunRecord& run) { return run.started != 0; });
  RawClient second = this->Connect();
  const RawResponse shed_response =
      second.Exchange("GET", "/", "Idempotency-Key: second\r\n");
  BOOST_TEST(shed_response.status == 503);
  BOOST_TEST(shed_response.HeaderValue("Retry-After") == "1");
  BOOST_TEST(shed_response.HeaderValue("Upstream-Load") == "1.000");
  BOOST_TEST(this->GetRunRecord("second").started == 0);
  BOOST_TEST(first.Receive(std::chrono::seconds(20)).status == 200);
}

// Guards against a request that keeps its slot after the caller has closed the
// connection.
BOOST_FIXTURE_TEST_CASE(ClosingTheConnectionCancelsTheRun, UpstreamFixture) {
  {
    RawClient client = this->Connect();
    client.Send("GET", "/?service_ms=60000", "Idempotency-Key: k\r\n");
    this->WaitForRun("k",
                     [](const RunRecord& run) { return run.started != 0; });
  }
  this->WaitForRun("k",
                   [](const RunRecord& run) { return run.cancelled != 0; });
  BOOST_TEST(RunOnLoop([this] { return this->upstream->state.in_flight; }) ==
             0);
}

// Guards against connections above the maximum number that are served.
BOOST_FIXTURE_TEST_CASE(ConnectionsAboveTheMaximumAreReset, UpstreamFixture) {
  UpstreamOptions options;
  options.max_connections = 1;
  this->Restart(options);
  RawClient first = this->Connect();
  BOOST_TEST(first.Exchange("GET", "/").status == 200);
  RawClient second = this->Connect();
  BOOST_TEST((second.Exchange("GET", "/").outcome == ReceiveOutcome::kClosed));
  BOOST_TEST(first.Exchange("GET", "/").status == 200);
}

// Guards against an upstream that refuses requests while it drains or does not
// show in its responses that it does, and against the faults "health_lag" and
// "load_lie" having no effect.
BOOST_FIXTURE_TEST_CASE(DrainingShowsInResponsesBeforeHealth, UpstreamFixture) {
  this->SetFault(R"({"kind":"health_lag","ms":3600000})");
  this->SetFault(R"({"kind":"drain"})");
  RawClient client = this->Connect();
  const RawResponse response = client.Exchange("GET", "/");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.HeaderValue("Upstream-State") == "draining");
  BOOST_TEST(client.Exchange("GET", "/healthz").status == 200);
  this->SetFault(R"({"kind":"health_lag","ms":0})");
  BOOST_TEST(client.Exchange("GET", "/healthz").status == 503);
  this->SetFault(R"({"kind":"load_lie","load":0.25})");
  const RawResponse load_response = client.Exchange("GET", "/load");
  BOOST_TEST(load_response.body == R"({"load":0.25,"slots":3})");
}

// Guards against ranges that overlap or leave a gap, or that have another ETag
// or Digest than the whole body, and against an If-Range header that is
// ignored.
BOOST_FIXTURE_TEST_CASE(RangesTogetherGiveTheWholeBody, UpstreamFixture) {
  RawClient client = this->Connect();
  const std::string path = "/body?bytes=200001&seed=9";
  const RawResponse whole = client.Exchange("GET", path);
  BOOST_TEST((whole.body == GenerateContent(9, 0, 200001)));
  const RawResponse first_part =
      client.Exchange("GET", path, "Range: bytes=0-70002\r\n");
  const RawResponse second_part =
      client.Exchange("GET", path, "Range: bytes=70003-\r\n");
  BOOST_TEST(second_part.status == 206);
  BOOST_TEST((first_part.body + second_part.body == whole.body));
  BOOST_TEST(second_part.HeaderValue("ETag") == whole.HeaderValue("ETag"));
  BOOST_TEST(second_part.HeaderValue("Digest") == whole.HeaderValue("Digest"));
  const RawResponse outdated_response = client.Exchange(
      "GET", path, "Range: bytes=5-6\r\nIf-Range: \"other\"\r\n");
  BOOST_TEST(outdated_response.status == 200);
}

// Guards against malformed or unsatisfiable ranges that select bytes beyond the
// end of the body.
BOOST_AUTO_TEST_CASE(InvalidAndBoundaryRanges) {
  BOOST_TEST((SelectRange("bytes=10-", 10).kind == RangeKind::kUnsatisfiable));
  BOOST_TEST((SelectRange("bytes=-0", 10).kind == RangeKind::kUnsatisfiable));
  BOOST_TEST((SelectRange("bytes=0-", 0).kind == RangeKind::kUnsatisfiable));
  BOOST_TEST(SelectRange("bytes=-20", 10).range.first == 0);
  BOOST_TEST(SelectRange("bytes=3-99", 10).range.last == 9);
  for (const char* text : {"", "items=1-2", "bytes=5-3", "bytes=a-b",
                           "bytes=", "bytes=1-2,4-5", "bytes=-"}) {
    BOOST_TEST((SelectRange(text, 10).kind == RangeKind::kWholeBody), text);
  }
}

// Guards against a cold start that has no effect or does not end, and against
// the fault "load_lag" having no effect.
BOOST_AUTO_TEST_CASE(ColdStartAndLoadLag) {
  using std::chrono::milliseconds;
  UpstreamOptions options;
  options.slots = 2;
  options.service_time = milliseconds(10);
  options.cold_start_time = milliseconds(1000);
  const base::TimePoint start{};
  UpstreamState state = MakeUpstreamState("u", options, start);
  const RequestInfo source;
  BOOST_TEST(
      (StartRun(state, source, start).service_time == milliseconds(100)));
  const base::TimePoint warm_time = start + milliseconds(1000);
  BOOST_TEST(
      (StartRun(state, source, warm_time).service_time == milliseconds(10)));
  UpstreamFault lag;
  lag.kind = UpstreamFaultKind::kLoadLag;
  lag.duration = milliseconds(400);
  state.faults.push_back(lag);
  BOOST_TEST(ComputeReportedLoad(state, warm_time) == 0.5);
  BOOST_TEST(ComputeReportedLoad(state, warm_time + milliseconds(400)) == 1.0);
}

}  // namespace poplarfork::standin
