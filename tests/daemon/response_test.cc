#include <boost/test/unit_test.hpp>
#include <string>

#include "daemon/digest.h"
#include "daemon/header_func.h"
#include "daemon/problem_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

}  // namespace

// Guards against hop-by-hop fields that are forwarded from one connection to
// the other one, where they could change the framing of its messages.
BOOST_AUTO_TEST_CASE(HopByHopFieldsAreRemoved) {
  http::fields fields;
  fields.set(http::field::connection, "close, X-Private");
  fields.set("X-Private", "1");
  fields.set(http::field::transfer_encoding, "chunked");
  fields.set(http::field::content_type, "text/plain");
  RemoveHopByHopFields(fields);
  BOOST_TEST(fields.count("X-Private") == 0);
  BOOST_TEST(fields.count(http::field::transfer_encoding) == 0);
  BOOST_TEST(fields.count(http::field::connection) == 0);
  BOOST_TEST(fields.count(http::field::content_type) == 1);
}

// Guards against a digest that depends on how the body is split into parts, and
// against a Digest field that is not recognized because of its letter case.
BOOST_AUTO_TEST_CASE(DigestDoesNotDependOnHowBodyIsSplit) {
  Digest digest;
  digest.Update("hel");
  digest.Update("lo");
  BOOST_TEST(digest.FinalizeBase64() ==
             "LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=");
  http::fields fields;
  fields.set("Digest", "SHA-256=abc=");
  BOOST_TEST(ParseDigestField(fields) == "abc=");
}

// Guards against a problem response whose header and body state different
// outcomes.
BOOST_AUTO_TEST_CASE(ProblemHeaderAndBodyStateTheSameOutcome) {
  const Problem problem{http::status::gateway_timeout, Outcome::kUnknown,
                        "deadline_exceeded", std::chrono::milliseconds(1500)};
  const auto response = MakeProblemResponse(problem, {"r-1"});
  BOOST_TEST(response["Poplarfork-Outcome"] == "unknown");
  BOOST_TEST(response[http::field::retry_after] == "2");
  BOOST_TEST(response.body().find("\"outcome\":\"unknown\"") !=
             std::string::npos);
  BOOST_TEST(response.body().find("\"request_id\":\"r-1\"") !=
             std::string::npos);
}

}  // namespace poplarfork::daemon
