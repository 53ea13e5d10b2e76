#include <boost/test/unit_test.hpp>

#include "tests/standin/upstream_fixture.h"

namespace poplarfork::standin {

namespace {

std::string Statuses(const UpstreamFixture& fixture) {
  RawClient client = fixture.Connect();
  std::string statuses;
  for (int index = 0; index < 40; ++index)
    statuses += client.Exchange("GET", "/").status == 200 ? '.' : 'x';
  return statuses;
}

}  // namespace

// Guards against a partial failure that affects other requests when the same
// command is repeated with the same seed.
BOOST_FIXTURE_TEST_CASE(PartialFailureRepeatsFromItsSeed, UpstreamFixture) {
  const std::string fault =
      R"({"kind":"partial","probability":0.5,"seed":7,"status":502})";
  this->Fault(fault);
  const std::string first = Statuses(*this);
  this->Fault(fault);
  BOOST_TEST(Statuses(*this) == first);
  BOOST_TEST(first.find('x') != std::string::npos);
  BOOST_TEST(first.find('.') != std::string::npos);
}

// Guards against an error status on one path that also affects other paths, and
// against a health endpoint that shows a failure of only some requests.
BOOST_FIXTURE_TEST_CASE(ErrorStatusAffectsOnlyItsPath, UpstreamFixture) {
  this->Fault(R"({"kind":"wrong","path":"/orders","count":2})");
  RawClient client = this->Connect();
  BOOST_TEST(client.Exchange("GET", "/orders/1").status == 500);
  BOOST_TEST(client.Exchange("GET", "/status/1").status == 200);
  BOOST_TEST(client.Exchange("GET", "/healthz").status == 200);
  BOOST_TEST(client.Exchange("GET", "/orders/1").status == 500);
  BOOST_TEST(client.Exchange("GET", "/orders/1").status == 200);
}

// Guards against a truncated body that a caller cannot distinguish from a
// complete one.
BOOST_FIXTURE_TEST_CASE(TruncatedBodyClosesTheConnection, UpstreamFixture) {
  this->Fault(R"({"kind":"cut_body","count":1})");
  RawClient client = this->Connect();
  const RawAnswer cut = client.Exchange("GET", "/body?bytes=300000&seed=1");
  BOOST_TEST((cut.end == RawEnd::kClosed));
  BOOST_TEST(cut.Field("Content-Length") == "300000");
  RawClient next = this->Connect();
  const RawAnswer whole = next.Exchange("GET", "/body?bytes=300000&seed=1");
  BOOST_TEST(whole.body.size() == 300000U);
}

// Guards against the fault "crossed" returning another response than that of
// the previous request, or the wrong request id.
BOOST_FIXTURE_TEST_CASE(CrossedFaultReturnsThePreviousResponse,
                        UpstreamFixture) {
  RawClient client = this->Connect();
  const std::string id_header = "Poplarfork-Request-Id: ";
  client.Exchange("GET", "/mine", id_header + "first\r\n");
  this->Fault(R"({"kind":"crossed","count":1})");
  const RawAnswer crossed =
      client.Exchange("GET", "/yours", id_header + "second\r\n");
  BOOST_TEST(crossed.Field("Poplarfork-Request-Id") == "first");
  BOOST_TEST(crossed.body.find("/mine") != std::string::npos);
  this->Fault(R"({"kind":"crossed","count":1,"with_id":"own"})");
  const RawAnswer hidden =
      client.Exchange("GET", "/theirs", id_header + "third\r\n");
  BOOST_TEST(hidden.Field("Poplarfork-Request-Id") == "third");
  BOOST_TEST(hidden.body.find("/yours") != std::string::npos);
}

// Guards against the fault "late" sending no response after the deadline.
// Without that fault, a request that reaches its deadline gets a 504.
BOOST_FIXTURE_TEST_CASE(LateResponseIgnoresTheDeadline, UpstreamFixture) {
  RawClient client = this->Connect();
  const std::string headers =
      "Poplarfork-Deadline-Ms: 20\r\nIdempotency-Key: k\r\n";
  this->Fault(R"({"kind":"slow","ms":5000,"count":1})");
  BOOST_TEST(client.Exchange("GET", "/", headers).status == 504);
  BOOST_TEST(this->Run("k").expired == 1);
  this->Fault(R"({"kind":"late","ms":100,"count":1})");
  BOOST_TEST(client.Exchange("GET", "/", headers).status == 200);
  BOOST_TEST(this->Run("k").completed == 1);
}

// Guards against a crash that leaves other connections open, is not counted as
// a run, or after which the upstream does not accept connections again.
BOOST_FIXTURE_TEST_CASE(CrashResetsAllConnectionsAndRecovers, UpstreamFixture) {
  this->Fault(
      R"({"kind":"crash","header":"X-Poison","value":"1","seconds":0.2})");
  RawClient bystander = this->Connect();
  bystander.Send("GET", "/?service_ms=10000", "");
  RawClient client = this->Connect();
  const RawAnswer crashed =
      client.Exchange("POST", "/", "X-Poison: 1\r\nIdempotency-Key: k\r\n");
  BOOST_TEST((crashed.end == RawEnd::kClosed));
  BOOST_TEST(
      (bystander.Receive(std::chrono::seconds(20)).end == RawEnd::kClosed));
  BOOST_TEST(this->Run("k").started == 1);
  bool is_back = false;
  for (int attempt = 0; attempt < 10000 && !is_back; ++attempt)
    is_back = this->Connect().Exchange("GET", "/").status == 200;
  BOOST_TEST(is_back);
  BOOST_TEST(OnLoop([this] { return this->upstream->state.in_flight; }) == 0);
}

// Guards against the fault "silent_connections" affecting connections that are
// opened after it.
BOOST_FIXTURE_TEST_CASE(SilentConnectionsDoNotAffectNewOnes, UpstreamFixture) {
  RawClient old = this->Connect();
  BOOST_TEST(old.Exchange("GET", "/").status == 200);
  this->Fault(R"({"kind":"silent_connections"})");
  old.Send("GET", "/", "Idempotency-Key: k\r\n");
  BOOST_TEST((old.Receive(kSilence).end == RawEnd::kSilent));
  BOOST_TEST(this->Run("k").started == 0);
  BOOST_TEST(this->Connect().Exchange("GET", "/").status == 200);
}

// Guards against confusing two faults: "one_way_silence" runs the request and
// loses the response, "hang" does not run the request.
BOOST_FIXTURE_TEST_CASE(OneWaySilenceRunsAndHangDoesNot, UpstreamFixture) {
  this->Fault(R"({"kind":"one_way_silence"})");
  RawClient client = this->Connect();
  client.Send("POST", "/", "Idempotency-Key: one-way\r\n");
  BOOST_TEST((client.Receive(kSilence).end == RawEnd::kSilent));
  BOOST_TEST(this->Run("one-way").completed == 1);
  RawClient probe = this->Connect();
  probe.Send("GET", "/healthz", "");
  BOOST_TEST((probe.Receive(kSilence).end == RawEnd::kSilent));
  this->Fault(R"({"kind":"none"})");
  this->Fault(R"({"kind":"hang"})");
  RawClient hung = this->Connect();
  hung.Send("POST", "/", "Idempotency-Key: hung\r\n");
  BOOST_TEST((hung.Receive(kSilence).end == RawEnd::kSilent));
  BOOST_TEST(this->Run("hung").started == 0);
  BOOST_TEST(this->Connect().Exchange("GET", "/healthz").status == 200);
}

// Guards against a misspelt or malformed fault command that is ignored instead
// of rejected.
BOOST_FIXTURE_TEST_CASE(UnknownFaultIsRejected, UpstreamFixture) {
  RawClient client = this->Connect();
  const std::string path = "/control/fault";
  BOOST_TEST(client.Exchange("POST", path, "", R"({"kind":"slo"})").status ==
             400);
  BOOST_TEST(client.Exchange("POST", path, "", "{").status == 400);
}

}  // namespace poplarfork::standin
