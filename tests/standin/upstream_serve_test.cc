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
  options.queue_limit = 0;
  this->Restart(options);
  RawClient first = this->Connect();
  first.Send("GET", "/?service_ms=300", "Idempotency-Key: first\r\n");
  this->WaitForRun("first",
                   [](const RunRecord& run) { return run.started != 0; });
  RawClient second = this->Connect();
  const RawAnswer shed =
      second.Exchange("GET", "/", "Idempotency-Key: second\r\n");
  BOOST_TEST(shed.status == 503);
  BOOST_TEST(shed.Field("Retry-After") == "1");
  BOOST_TEST(shed.Field("Upstream-Load") == "1.000");
  BOOST_TEST(this->Run("second").started == 0);
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
  BOOST_TEST(OnLoop([this] { return this->upstream->state.in_flight; }) == 0);
}

// Guards against connections above the maximum number that are served.
BOOST_FIXTURE_TEST_CASE(ConnectionsAboveTheMaximumAreReset, UpstreamFixture) {
  UpstreamOptions options;
  options.connection_cap = 1;
  this->Restart(options);
  RawClient first = this->Connect();
  BOOST_TEST(first.Exchange("GET", "/").status == 200);
  RawClient second = this->Connect();
  BOOST_TEST((second.Exchange("GET", "/").end == RawEnd::kClosed));
  BOOST_TEST(first.Exchange("GET", "/").status == 200);
}

// Guards against an upstream that refuses requests while it drains or does not
// show in its responses that it does, and against the faults "health_lag" and
// "load_lie" having no effect.
BOOST_FIXTURE_TEST_CASE(DrainingShowsInResponsesBeforeHealth, UpstreamFixture) {
  this->Fault(R"({"kind":"health_lag","ms":3600000})");
  this->Fault(R"({"kind":"drain"})");
  RawClient client = this->Connect();
  const RawAnswer answer = client.Exchange("GET", "/");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.Field("Upstream-State") == "draining");
  BOOST_TEST(client.Exchange("GET", "/healthz").status == 200);
  this->Fault(R"({"kind":"health_lag","ms":0})");
  BOOST_TEST(client.Exchange("GET", "/healthz").status == 503);
  this->Fault(R"({"kind":"load_lie","load":0.25})");
  const RawAnswer load = client.Exchange("GET", "/load");
  BOOST_TEST(load.body == R"({"load":0.25,"slots":3})");
}

// Guards against ranges that overlap or leave a gap, or that have another ETag
// or Digest than the whole body, and against an If-Range header that is
// ignored.
BOOST_FIXTURE_TEST_CASE(RangesTogetherGiveTheWholeBody, UpstreamFixture) {
  RawClient client = this->Connect();
  const std::string path = "/body?bytes=200001&seed=9";
  const RawAnswer whole = client.Exchange("GET", path);
  BOOST_TEST((whole.body == GenerateContent(9, 0, 200001)));
  const RawAnswer head =
      client.Exchange("GET", path, "Range: bytes=0-70002\r\n");
  const RawAnswer tail =
      client.Exchange("GET", path, "Range: bytes=70003-\r\n");
  BOOST_TEST(tail.status == 206);
  BOOST_TEST((head.body + tail.body == whole.body));
  BOOST_TEST(tail.Field("ETag") == whole.Field("ETag"));
  BOOST_TEST(tail.Field("Digest") == whole.Field("Digest"));
  const RawAnswer changed = client.Exchange(
      "GET", path, "Range: bytes=5-6\r\nIf-Range: \"other\"\r\n");
  BOOST_TEST(changed.status == 200);
}

// Guards against malformed or unsatisfiable ranges that select bytes beyond the
// end of the body.
BOOST_AUTO_TEST_CASE(InvalidAndBoundaryRanges) {
  BOOST_TEST((ChooseRange("bytes=10-", 10).kind == RangeKind::kUnsatisfiable));
  BOOST_TEST((ChooseRange("bytes=-0", 10).kind == RangeKind::kUnsatisfiable));
  BOOST_TEST((ChooseRange("bytes=0-", 0).kind == RangeKind::kUnsatisfiable));
  BOOST_TEST(ChooseRange("bytes=-20", 10).range.first == 0);
  BOOST_TEST(ChooseRange("bytes=3-99", 10).range.last == 9);
  for (const char* text : {"", "items=1-2", "bytes=5-3", "bytes=a-b",
                           "bytes=", "bytes=1-2,4-5", "bytes=-"}) {
    BOOST_TEST((ChooseRange(text, 10).kind == RangeKind::kWhole), text);
  }
}

// Guards against a cold start that has no effect or does not end, and against
// the fault "load_lag" having no effect.
BOOST_AUTO_TEST_CASE(ColdStartAndLoadLag) {
  using std::chrono::milliseconds;
  UpstreamOptions options;
  options.slots = 2;
  options.service_time = milliseconds(10);
  options.cold_start = milliseconds(1000);
  const base::TimePoint start{};
  UpstreamState state = MakeUpstreamState("u", options, start);
  const AnswerSource source;
  BOOST_TEST((StartRun(state, source, start).work == milliseconds(100)));
  const base::TimePoint warm = start + milliseconds(1000);
  BOOST_TEST((StartRun(state, source, warm).work == milliseconds(10)));
  UpstreamFault lag;
  lag.kind = UpstreamFaultKind::kLoadLag;
  lag.duration = milliseconds(400);
  state.faults.push_back(lag);
  BOOST_TEST(ShownLoad(state, warm) == 0.5);
  BOOST_TEST(ShownLoad(state, warm + milliseconds(400)) == 1.0);
}

}  // namespace poplarfork::standin
