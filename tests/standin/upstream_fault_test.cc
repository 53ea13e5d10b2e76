#include <boost/test/unit_test.hpp>

#include "tests/standin/upstream_fixture.h"

namespace poplarfork::standin {

namespace {

std::string CollectStatuses(const UpstreamFixture& fixture) {
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
  this->SetFault(fault);
  const std::string first = CollectStatuses(*this);
  this->SetFault(fault);
  BOOST_TEST(CollectStatuses(*this) == first);
  BOOST_TEST(first.find('x') != std::string::npos);
  BOOST_TEST(first.find('.') != std::string::npos);
}

// Guards against an error status on one path that also affects other paths, and
// against a health endpoint that shows a failure of only some requests.
BOOST_FIXTURE_TEST_CASE(ErrorStatusAffectsOnlyItsPath, UpstreamFixture) {
  this->SetFault(R"({"kind":"wrong","path":"/orders","count":2})");
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
  this->SetFault(R"({"kind":"cut_body","count":1})");
  RawClient client = this->Connect();
  const RawResponse truncated =
      client.Exchange("GET", "/body?bytes=300000&seed=1");
  BOOST_TEST((truncated.outcome == ReceiveOutcome::kClosed));
  BOOST_TEST(truncated.HeaderValue("Content-Length") == "300000");
  RawClient second_client = this->Connect();
  const RawResponse whole =
      second_client.Exchange("GET", "/body?bytes=300000&seed=1");
  BOOST_TEST(whole.body.size() == 300000U);
}

// Guards against the fault "crossed" returning another response than that of
// the previous request, or the wrong request id.
BOOST_FIXTURE_TEST_CASE(CrossedFaultReturnsThePreviousResponse,
                        UpstreamFixture) {
  RawClient client = this->Connect();
  const std::string id_header = "Poplarfork-Request-Id: ";
  client.Exchange("GET", "/mine", id_header + "first\r\n");
  this->SetFault(R"({"kind":"crossed","count":1})");
  const RawResponse previous_response =
      client.Exchange("GET", "/yours", id_header + "second\r\n");
  BOOST_TEST(previous_response.HeaderValue("Poplarfork-Request-Id") == "first");
  BOOST_TEST(previous_response.body.find("/mine") != std::string::npos);
  this->SetFault(R"({"kind":"crossed","count":1,"with_id":"own"})");
  const RawResponse own_id_response =
      client.Exchange("GET", "/theirs", id_header + "third\r\n");
  BOOST_TEST(own_id_response.HeaderValue("Poplarfork-Request-Id") == "third");
  BOOST_TEST(own_id_response.body.find("/yours") != std::string::npos);
}

// Guards against the fault "late" sending no response after the deadline.
// Without that fault, a request that reaches its deadline gets a 504.
BOOST_FIXTURE_TEST_CASE(LateResponseIgnoresTheDeadline, UpstreamFixture) {
  RawClient client = this->Connect();
  const std::string headers =
      "Poplarfork-Deadline-Ms: 20\r\nIdempotency-Key: k\r\n";
  this->SetFault(R"({"kind":"slow","ms":5000,"count":1})");
  BOOST_TEST(client.Exchange("GET", "/", headers).status == 504);
  BOOST_TEST(this->GetRunRecord("k").expired == 1);
  this->SetFault(R"({"kind":"late","ms":100,"count":1})");
  BOOST_TEST(client.Exchange("GET", "/", headers).status == 200);
  BOOST_TEST(this->GetRunRecord("k").completed == 1);
}

// Guards against a crash that leaves other connections open, is not counted as
// a run, or after which the upstream does not accept connections again.
BOOST_FIXTURE_TEST_CASE(CrashResetsAllConnectionsAndRecovers, UpstreamFixture) {
  this->SetFault(
      R"({"kind":"crash","header":"X-Poison","value":"1","seconds":0.2})");
  RawClient other_client = this->Connect();
  other_client.Send("GET", "/?service_ms=10000", "");
  RawClient client = this->Connect();
  const RawResponse crash_response =
      client.Exchange("POST", "/", "X-Poison: 1\r\nIdempotency-Key: k\r\n");
  BOOST_TEST((crash_response.outcome == ReceiveOutcome::kClosed));
  BOOST_TEST((other_client.Receive(std::chrono::seconds(20)).outcome ==
              ReceiveOutcome::kClosed));
  BOOST_TEST(this->GetRunRecord("k").started == 1);
  bool has_recovered = false;
  for (int attempt = 0; attempt < 10000 && !has_recovered; ++attempt)
    has_recovered = this->Connect().Exchange("GET", "/").status == 200;
  BOOST_TEST(has_recovered);
  BOOST_TEST(RunOnLoop([this] { return this->upstream->state.in_flight; }) ==
             0);
}

// Guards against the fault "silent_connections" affecting connections that are
// opened after it.
BOOST_FIXTURE_TEST_CASE(SilentConnectionsDoNotAffectNewOnes, UpstreamFixture) {
  RawClient old_client = this->Connect();
  BOOST_TEST(old_client.Exchange("GET", "/").status == 200);
  this->SetFault(R"({"kind":"silent_connections"})");
  old_client.Send("GET", "/", "Idempotency-Key: k\r\n");
  BOOST_TEST((old_client.Receive(kSilenceTimeout).outcome ==
              ReceiveOutcome::kTimeout));
  BOOST_TEST(this->GetRunRecord("k").started == 0);
  BOOST_TEST(this->Connect().Exchange("GET", "/").status == 200);
}

// Guards against confusing two faults: "one_way_silence" runs the request and
// loses the response, "hang" does not run the request.
BOOST_FIXTURE_TEST_CASE(OneWaySilenceRunsAndHangDoesNot, UpstreamFixture) {
  this->SetFault(R"({"kind":"one_way_silence"})");
  RawClient client = this->Connect();
  client.Send("POST", "/", "Idempotency-Key: one-way\r\n");
  BOOST_TEST(
      (client.Receive(kSilenceTimeout).outcome == ReceiveOutcome::kTimeout));
  BOOST_TEST(this->GetRunRecord("one-way").completed == 1);
  RawClient probe = this->Connect();
  probe.Send("GET", "/healthz", "");
  BOOST_TEST(
      (probe.Receive(kSilenceTimeout).outcome == ReceiveOutcome::kTimeout));
  this->SetFault(R"({"kind":"none"})");
  this->SetFault(R"({"kind":"hang"})");
  RawClient hang_client = this->Connect();
  hang_client.Send("POST", "/", "Idempotency-Key: hung\r\n");
  BOOST_TEST((hang_client.Receive(kSilenceTimeout).outcome ==
              ReceiveOutcome::kTimeout));
  BOOST_TEST(this->GetRunRecord("hung").started == 0);
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
