#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

#include "base/rng_func.h"
#include "datagram/codec_func.h"

namespace poplarfork::datagram {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr base::TimePoint kSent{seconds(100)};
// The receiver's clock has a different origin.
constexpr base::TimePoint kReceived{seconds(7)};

template <class T>
T Carry(const T& message) {
  std::string bytes;
  Encode(message, kSent, bytes);
  return std::get<T>(Decode(bytes, kReceived).value());
}

}  // namespace

// Guards against fields that are lost between daemons.
BOOST_AUTO_TEST_CASE(MessagesKeepAllFields) {
  dispatch::Ask ask;
  ask.attempt = {42};
  ask.work = {{"orders"}, true, 3};
  ask.until_late = milliseconds(800);
  ask.until_deadline = milliseconds(2000);
  ask.is_retry = true;
  ask.fingerprint = {0xfedcba9876543210U};
  ask.data_centre = {"a"};
  ask.avoid = {{"u1"}, {"u2"}};
  const dispatch::Ask carried = Carry(ask);
  BOOST_TEST((carried.attempt == ask.attempt));
  BOOST_TEST((carried.work == ask.work));
  BOOST_TEST((carried.until_late == ask.until_late));
  BOOST_TEST((carried.fingerprint == ask.fingerprint));
  BOOST_TEST(carried.avoid.size() == 2U);

  dispatch::Report report;
  report.attempt = {42};
  report.upstream = {"u1"};
  report.outcome = dispatch::Outcome::kCancelled;
  report.has_load = true;
  report.load = {1, 2, 3};
  BOOST_TEST((Carry(report).outcome == report.outcome));
  BOOST_TEST(Carry(report).load.slots == 3U);

  Hello hello;
  hello.listed_to = {9};
  hello.without_records = true;
  BOOST_TEST((Carry(hello).listed_to == hello.listed_to));
  BOOST_TEST(Carry(hello).without_records);

  News news;
  news.as_of = {17};
  news.parts = 2;
  news.part = 1;
  news.is_full = true;
  news.more = true;
  news.since = {11};
  news.upstreams.resize(1);
  news.upstreams[0].entry.id = {"u"};
  news.upstreams[0].entry.cold_until = kSent + milliseconds(1500);
  const News heard = Carry(news);
  BOOST_TEST(heard.part == 1U);
  BOOST_TEST(heard.is_full);
  BOOST_TEST(heard.more);
  BOOST_TEST((heard.since == news.since));
  // Points in time are encoded as the time left until them.
  BOOST_TEST(
      (heard.upstreams[0].entry.cold_until == kReceived + milliseconds(1500)));
}

// Guards against datagrams with arbitrary content that crash the daemon or are
// decoded to a message with values outside their range.
BOOST_AUTO_TEST_CASE(ArbitraryBytesAreDecodedSafely) {
  base::Rng rng(kSeed);
  std::string sound;
  dispatch::Refusal refusal;
  refusal.attempt = {7};
  Encode(refusal, kSent, sound);
  int accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = sound;
    if (i % 2 == 0) {
      bytes.resize(base::UniformBelow(rng, 64));
      for (char& byte : bytes)
        byte = static_cast<char>(base::UniformBelow(rng, 256));
    } else {
      bytes[base::UniformBelow(rng, bytes.size())] =
          static_cast<char>(base::UniformBelow(rng, 256));
    }
    const auto message = Decode(bytes, kReceived);
    if (!message)
      continue;
    ++accepted;
    if (const auto* carried = std::get_if<dispatch::Refusal>(&message.value()))
      BOOST_TEST((carried->reason <= dispatch::RefusalReason::kExpired));
  }
  BOOST_TEST(accepted < 20000);
  BOOST_TEST(!Decode("", kReceived));
}

}  // namespace poplarfork::datagram
