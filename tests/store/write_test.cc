#include <boost/test/unit_test.hpp>

#include "base/error_func.h"
#include "tests/store/store_fixture.h"

namespace poplarfork::store {

// Guards against a second create of the same key being reported as a success,
// and against a conflict that does not return the existing value.
BOOST_FIXTURE_TEST_CASE(SecondCreateReturnsExistingValue, StoreFixture) {
  const WriteResult first = this->Create("log/1", "mine");
  BOOST_TEST((first.status == WriteStatus::kWritten));
  const WriteResult second = this->Create("log/1", "other");
  BOOST_TEST((second.status == WriteStatus::kConflict));
  BOOST_REQUIRE(second.existing.has_value());
  BOOST_TEST(second.existing->value == "mine");
  BOOST_TEST((second.existing->mod_revision == first.revision));
}

// Guards against two writers of the same ledger that both get a success: a swap
// that expects an outdated revision, or a key that does not exist, must
// conflict.
BOOST_FIXTURE_TEST_CASE(SwapWithStaleRevisionConflicts, StoreFixture) {
  const WriteResult first = this->Create("ledger", "a");
  const WriteResult second = this->Swap("ledger", first.revision, "b");
  BOOST_TEST((second.status == WriteStatus::kWritten));
  const WriteResult third = this->Swap("ledger", first.revision, "c");
  BOOST_TEST((third.status == WriteStatus::kConflict));
  BOOST_TEST(this->Read("ledger").value().entry->value == "b");
  const WriteResult absent = this->Swap("none", first.revision, "c");
  BOOST_TEST((absent.status == WriteStatus::kConflict));
  BOOST_TEST(!absent.existing.has_value());
}

// Guards against binary values being altered in transit, and against a value
// above the 1 MB limit being reported as an unknown outcome instead of a
// refusal.
BOOST_FIXTURE_TEST_CASE(BinaryValuesAreUnalteredUpToSizeLimit, StoreFixture) {
  std::string value(1024 * 1024, '\0');
  for (std::size_t index = 0; index < value.size(); ++index)
    value[index] = static_cast<char>(index * 31);
  RunOnLoop([this] {
    this->client->options.call_timeout = std::chrono::seconds(10);
  });
  BOOST_TEST((this->Create("large", value).status == WriteStatus::kWritten));
  BOOST_TEST((this->Read("large").value().entry->value == value));
  const WriteResult refused = this->Create("larger", value + "x");
  BOOST_TEST((refused.status == WriteStatus::kRefused));
  BOOST_TEST(!this->Read("larger").value().entry.has_value());
}

// Guards against a write whose reply is lost being reported as failed or being
// sent again: reading the key finds the value, and the store has run one
// transaction.
BOOST_FIXTURE_TEST_CASE(LostReplyIsReportedAsNoReply, StoreFixture) {
  for (const char* mode : {"close", "hang"}) {
    const std::string key = std::string("key-") + mode;
    const std::uint64_t txn_count_before =
        RunOnLoop([this] { return this->store->counts.txn; });
    this->ApplyFault(std::string(R"({"kind":"lose_reply","mode":")") + mode +
                     "\"}");
    const WriteResult result = this->Create(key, "mine");
    BOOST_TEST((result.status == WriteStatus::kNoReply));
    BOOST_TEST((result.error.step == base::Step::kStoreCall));
    BOOST_TEST(result.error.peer == this->client->options.address);
    BOOST_TEST(this->Read(key).value().entry->value == "mine");
    BOOST_TEST(RunOnLoop([this] { return this->store->counts.txn; }) ==
               txn_count_before + 1);
  }
  BOOST_TEST(RunOnLoop([this] { return this->client->counts.no_replies; }) ==
             2);
}

// Guards against a write to a hanging store being reported as not sent,
// although it may have been.
BOOST_FIXTURE_TEST_CASE(WriteToHangingStoreIsReportedAsNoReply, StoreFixture) {
  this->ApplyFault(R"({"kind":"down","mode":"hang"})");
  const WriteResult result = this->Create("key", "mine");
  BOOST_TEST((result.status == WriteStatus::kNoReply));
  BOOST_TEST((result.error.code == base::ErrorCode::kTimeout));
  this->ApplyFault(R"({"kind":"none"})");
  BOOST_TEST(!this->Read("key").value().entry.has_value());
}

// Guards against a refused connection being reported as an unknown outcome
// although no byte was sent. Publishing relies on the distinction: it reports
// "rejected" if the write was not sent.
BOOST_FIXTURE_TEST_CASE(RefusedConnectionIsReportedAsNotSent, StoreFixture) {
  RunOnLoop([this] {
    standin::StopAccepting(*this->store->server);
    standin::ResetConnections(*this->store->server);
  });
  const WriteResult result = this->Create("key", "mine");
  BOOST_TEST((result.status == WriteStatus::kNotSent),
             base::ToString(result.error));
  const auto read = this->Read("key");
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST((read.error().code == base::ErrorCode::kUnavailable));
  BOOST_TEST(read.error().peer == this->client->options.address);
}

// Guards against a daemon whose retries exceed the store's rate limit.
BOOST_FIXTURE_TEST_CASE(CallsAboveBudgetAreNotSent, StoreFixture) {
  RunOnLoop([this] {
    this->client->budget.tokens_per_second = 0.0;
    this->client->budget.tokens = 1.0;
  });
  BOOST_TEST((this->Create("a", "1").status == WriteStatus::kWritten));
  BOOST_TEST((this->Create("b", "2").status == WriteStatus::kNotSent));
  BOOST_TEST(RunOnLoop([this] { return this->store->counts.txn; }) == 1);
}

}  // namespace poplarfork::store
