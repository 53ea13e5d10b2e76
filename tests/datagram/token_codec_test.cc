#include <boost/test/unit_test.hpp>

#include <limits>
#include <string>

#include "datagram/codec_func.h"
#include "fleet.pb.h"

namespace poplarfork::datagram {

namespace {

constexpr base::TimePoint kNow{std::chrono::seconds(100)};

Message EncodeAndDecode(const Message& message) {
  std::string bytes;
  Encode(message, kNow, bytes);
  const auto decoded = Decode(bytes, kNow);
  BOOST_REQUIRE(decoded.has_value());
  return decoded.value();
}

}  // namespace

// Guards against fields of asks and grants that get lost between daemons.
BOOST_AUTO_TEST_CASE(TokenMessagesKeepTheirFields) {
  const Message asks = EncodeAndDecode(
      allowance::TokenAsks{{{"a"}, 2.5, 0.25, 7}, {{"b"}, 1, 0, 8}});
  const auto& decoded_asks = std::get<allowance::TokenAsks>(asks);
  BOOST_REQUIRE(decoded_asks.size() == 2U);
  BOOST_TEST(decoded_asks[0].account.value == "a");
  BOOST_TEST(decoded_asks[0].wanted == 2.5);
  BOOST_TEST(decoded_asks[0].returned == 0.25);
  BOOST_TEST(decoded_asks[0].sequence == 7U);
  BOOST_TEST(decoded_asks[1].account.value == "b");

  const Message grants = EncodeAndDecode(
      allowance::TokenGrants{{{"a"}, 1.5, std::chrono::milliseconds(40), 7}});
  const auto& decoded_grants = std::get<allowance::TokenGrants>(grants);
  BOOST_REQUIRE(decoded_grants.size() == 1U);
  BOOST_TEST(decoded_grants[0].account.value == "a");
  BOOST_TEST(decoded_grants[0].granted == 1.5);
  BOOST_TEST(decoded_grants[0].next_token.count() == 40000);
  BOOST_TEST(decoded_grants[0].sequence == 7U);
}

// Guards against malformed numbers that would spoil a bucket for good.
BOOST_AUTO_TEST_CASE(MalformedTokenNumbersAreReadAsZero) {
  for (const double value : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity()}) {
    const Message asks =
        EncodeAndDecode(allowance::TokenAsks{{{"a"}, value, value, 1}});
    BOOST_TEST(std::get<allowance::TokenAsks>(asks)[0].wanted == 0);
    BOOST_TEST(std::get<allowance::TokenAsks>(asks)[0].returned == 0);
  }
}

}  // namespace poplarfork::datagram
