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
constexpr base::TimePoint kSendTime{seconds(100)};
// The receiver's clock has a different origin.
constexpr base::TimePoint kReceiveTime{seconds(7)};

template <class T>
T EncodeAndDecode(const T& message) {
  std::string bytes;
  Encode(message, kSendTime, bytes);
  return std::get<T>(Decode(bytes, kReceiveTime).value());
}

}  // namespace

// Guards against fields that are lost between daemons.
BOOST_AUTO_TEST_CASE(MessagesKeepAllFields) {
  dispatch::SlotRequest slot_request;
  slot_request.attempt_id = {42};
  slot_request.work_class = {{"orders"}, true, 3};
  slot_request.until_late = milliseconds(800);
  slot_request.until_deadline = milliseconds(2000);
  slot_request.is_retry = true;
  slot_request.fingerprints = {{0xfedcba9876543210U}, {7}, {8}};
  slot_request.data_centre = {"a"};
  slot_request.avoid = {{"u1"}, {"u2"}};
  const dispatch::SlotRequest decoded = EncodeAndDecode(slot_request);
  BOOST_TEST((decoded.attempt_id == slot_request.attempt_id));
  BOOST_TEST((decoded.work_class == slot_request.work_class));
  BOOST_TEST((decoded.until_late == slot_request.until_late));
  BOOST_TEST((decoded.fingerprints.call == slot_request.fingerprints.call));
  BOOST_TEST(
      (decoded.fingerprints.content == slot_request.fingerprints.content));
  BOOST_TEST((decoded.fingerprints.family == slot_request.fingerprints.family));
  BOOST_TEST(decoded.avoid.size() == 2U);

  slot_request.is_hedge = true;
  BOOST_TEST(EncodeAndDecode(slot_request).is_hedge);

  dispatch::Grant grant;
  grant.retry_after = milliseconds(600);
  grant.hedge_after = milliseconds(450);
  grant.waited = milliseconds(30);
  const dispatch::Grant decoded_grant = EncodeAndDecode(grant);
  BOOST_TEST((decoded_grant.retry_after == grant.retry_after));
  BOOST_TEST((decoded_grant.hedge_after == grant.hedge_after));
  BOOST_TEST((decoded_grant.waited == grant.waited));

  dispatch::AttemptReport report;
  report.attempt_id = {42};
  report.upstream = {"u1"};
  report.outcome = dispatch::Outcome::kCancelled;
  report.notice = {true, milliseconds(1500), 2.5};
  report.has_reported_load = true;
  report.reported_load = {1, 2, 3};
  BOOST_TEST((EncodeAndDecode(report).outcome == report.outcome));
  BOOST_TEST(EncodeAndDecode(report).notice.is_leaving);
  BOOST_TEST((EncodeAndDecode(report).notice.pause == milliseconds(1500)));
  BOOST_TEST((EncodeAndDecode(report).notice.rate_limit == 2.5));
  report.notice.rate_limit = -1;
  BOOST_TEST(!EncodeAndDecode(report).notice.rate_limit);
  BOOST_TEST(EncodeAndDecode(report).reported_load.slots == 3U);

  Hello hello;
  hello.list_received_up_to = {9};
  hello.without_records = true;
  BOOST_TEST((EncodeAndDecode(hello).list_received_up_to ==
              hello.list_received_up_to));
  BOOST_TEST(EncodeAndDecode(hello).without_records);
  hello.era = {3};
  hello.wants_withheld = true;
  BOOST_TEST(EncodeAndDecode(hello).era.value == 3U);
  BOOST_TEST(EncodeAndDecode(hello).wants_withheld);
  // An era has 16 bits.
  hello.era = {1U << 16U};
  BOOST_TEST(EncodeAndDecode(hello).era.value == 0U);

  ViewUpdate update;
  update.as_of = {17};
  update.part_count = 2;
  update.part_index = 1;
  update.is_full_list = true;
  update.more = true;
  update.since = {11};
  update.read_age = milliseconds(350);
  update.upstreams.resize(1);
  update.upstreams[0].entry.id = {"u"};
  update.upstreams[0].entry.cold_until = kSendTime + milliseconds(1500);
  update.upstreams[0].entry.sequence = 41;
  update.upstreams[0].restored = true;
  update.era = {65535};
  const ViewUpdate decoded_update = EncodeAndDecode(update);
  BOOST_TEST(decoded_update.upstreams[0].entry.sequence == 41U);
  BOOST_TEST(decoded_update.upstreams[0].restored);
  BOOST_TEST(decoded_update.era.value == 65535U);
  BOOST_TEST(decoded_update.part_index == 1U);
  BOOST_TEST(decoded_update.is_full_list);
  BOOST_TEST(decoded_update.more);
  BOOST_TEST((decoded_update.since == update.since));
  // Ages are rounded up, so that a view never seems more current than it is.
  BOOST_REQUIRE(decoded_update.read_age);
  BOOST_TEST((*decoded_update.read_age >= milliseconds(350)));
  BOOST_TEST((*decoded_update.read_age <= milliseconds(352)));
  BOOST_TEST(!EncodeAndDecode(ViewUpdate{}).read_age);

  dispatch::ShardDigest digest;
  digest.shard = {{"orders"}, 3, 8};
  digest.sequence = 5;
  digest.retry_tokens = 2.5;
  digest.request_rate = 80;
  digest.upstreams = {
      {{"u1"}, {77}, 0.25, true, true, 2, 1.5, milliseconds(400)}};
  digest.durations = {{true, 2, milliseconds(260)}};
  const dispatch::ShardDigest decoded_digest = EncodeAndDecode(digest);
  BOOST_TEST((decoded_digest.shard == digest.shard));
  BOOST_TEST(decoded_digest.sequence == 5U);
  BOOST_TEST(decoded_digest.retry_tokens == 2.5);
  BOOST_TEST(decoded_digest.request_rate == 80);
  BOOST_REQUIRE(decoded_digest.upstreams.size() == 1U);
  const dispatch::UpstreamDigest& upstream = decoded_digest.upstreams[0];
  BOOST_TEST((upstream.id == base::UpstreamId{"u1"}));
  BOOST_TEST((upstream.incarnation == base::Incarnation{77}));
  BOOST_TEST(upstream.fault_probability == 0.25);
  BOOST_TEST(upstream.suspended);
  BOOST_TEST(upstream.leaving);
  BOOST_TEST(upstream.running_count == 2U);
  BOOST_TEST(upstream.slowness == 1.5);
  BOOST_TEST((upstream.uncovered_for == milliseconds(400)));
  BOOST_REQUIRE(decoded_digest.durations.size() == 1U);
  BOOST_TEST((decoded_digest.durations[0].mean_duration == milliseconds(260)));

  // Points in time are encoded as the time left until them.
  BOOST_TEST((decoded_update.upstreams[0].entry.cold_until ==
              kReceiveTime + milliseconds(1500)));
}

// Guards against datagrams with arbitrary content that crash the daemon or are
// decoded to a message with values outside their range.
BOOST_AUTO_TEST_CASE(ArbitraryBytesAreDecodedSafely) {
  base::Rng rng(kSeed);
  std::string valid_bytes;
  dispatch::Refusal refusal;
  refusal.attempt_id = {7};
  Encode(refusal, kSendTime, valid_bytes);
  int accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = valid_bytes;
    if (i % 2 == 0) {
      bytes.resize(base::UniformBelow(rng, 64));
      for (char& byte : bytes)
        byte = static_cast<char>(base::UniformBelow(rng, 256));
    } else {
      bytes[base::UniformBelow(rng, bytes.size())] =
          static_cast<char>(base::UniformBelow(rng, 256));
    }
    const auto message = Decode(bytes, kReceiveTime);
    if (!message)
      continue;
    ++accepted;
    if (const auto* decoded = std::get_if<dispatch::Refusal>(&message.value()))
      BOOST_TEST((decoded->reason <= dispatch::RefusalReason::kHedgeBudget));
  }
  BOOST_TEST(accepted < 20000);
  BOOST_TEST(!Decode("", kReceiveTime));
}

}  // namespace poplarfork::datagram
