#include <boost/test/unit_test.hpp>

#include "tests/store/store_fixture.h"

namespace poplarfork::store {

namespace {

base::Result<RangeResult> ReadPrefix(const StoreFixture& fixture,
                                     const std::string& prefix,
                                     std::uint64_t limit) {
  return AwaitCallback<base::Result<RangeResult>>(
      [&](auto done) { GetPrefix(fixture.client, prefix, limit, done); });
}

base::Result<LeaseResult> RenewLease(const StoreFixture& fixture,
                                     LeaseId lease) {
  return AwaitCallback<base::Result<LeaseResult>>(
      [&](auto done) { KeepAlive(fixture.client, lease, done); });
}

}  // namespace

// Guards against an absent key being reported as an error, and against a failed
// read being reported as an absent key.
BOOST_FIXTURE_TEST_CASE(AbsentKeyIsNotAnError, StoreFixture) {
  BOOST_TEST(!this->Read("none").value().entry.has_value());
  this->ApplyFault(R"({"kind":"down"})");
  BOOST_TEST(!this->Read("none").has_value());
}

// Guards against a prefix read that includes adjacent keys outside the prefix,
// or that does not report that the limit left out entries.
BOOST_FIXTURE_TEST_CASE(PrefixReadReturnsKeysInOrder, StoreFixture) {
  for (const char* key : {"log/2", "log/1", "log0", "lof/9", "log/3"})
    this->Create(key, key);
  const auto all = ReadPrefix(*this, "log/", 0);
  BOOST_REQUIRE(all.value().entries.size() == 3);
  BOOST_TEST(all.value().entries[0].key == "log/1");
  BOOST_TEST(!all.value().has_more);
  const auto part = ReadPrefix(*this, "log/", 2);
  BOOST_TEST(part.value().entries.size() == 2);
  BOOST_TEST(part.value().has_more);
}

// Guards against a slow store that blocks the loop or leaves a call waiting
// forever: a call fails at its timeout, and a slow reply that arrives before
// the timeout is used.
BOOST_FIXTURE_TEST_CASE(SlowStoreTimesOut, StoreFixture) {
  this->Create("key", "value");
  this->ApplyFault(R"({"kind":"slow","ms":50})");
  BOOST_TEST(this->Read("key").value().entry->value == "value");
  this->ApplyFault(R"({"kind":"slow","ms":5000})");
  const auto read = this->Read("key");
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST((read.error().code == base::ErrorCode::kTimeout));
}

// Guards against a client that still considers an expired lease valid: renewing
// it must report a time to live of 0.
BOOST_FIXTURE_TEST_CASE(ExpiredLeaseHasZeroTimeToLive, StoreFixture) {
  const auto granted =
      AwaitCallback<base::Result<LeaseResult>>([this](auto done) {
        GrantLease(this->client, std::chrono::milliseconds(59500), done);
      });
  const LeaseId lease = granted.value().lease;
  BOOST_TEST((granted.value().time_to_live == std::chrono::seconds(60)));
  BOOST_TEST((RenewLease(*this, lease).value().time_to_live ==
              std::chrono::seconds(60)));
  const WriteResult write = AwaitCallback<WriteResult>([&](auto done) {
    CreateIfAbsent(this->client, "held", "by me", lease, done);
  });
  BOOST_TEST((write.status == WriteStatus::kWritten));
  this->ApplyFault(R"({"kind":"expire_leases"})");
  BOOST_TEST((RenewLease(*this, lease).value().time_to_live ==
              base::Duration::zero()));
  BOOST_TEST(!this->Read("held").value().entry.has_value());
}

}  // namespace poplarfork::store
