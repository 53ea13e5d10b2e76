#include <boost/test/unit_test.hpp>

#include "base/error_func.h"
#include "standin/store_state_func.h"
#include "standin/vm_list_state_func.h"

namespace poplarfork::standin {

namespace {

using std::chrono::seconds;

TxnRequest MakeCreateTxn(const std::string& key) {
  TxnRequest request;
  request.comparisons = {
      {key, CompareTarget::kCreateRevision, CompareResult::kEqual, 0}};
  request.success = {PutRequest{key, "new", 0},
                     PutRequest{key + "/part", "new", 0}};
  request.failure = {RangeRequest{{key, ""}, 0, false}};
  return request;
}

}  // namespace

// Guards against a transaction whose changes get different revisions, and
// against a transaction that increments the revision although it changes
// nothing.
BOOST_AUTO_TEST_CASE(TransactionSharesOneRevision) {
  StoreState state;
  BOOST_TEST(RunTxn(state, MakeCreateTxn("k")).value().has_succeeded);
  BOOST_TEST(state.values["k"].mod_revision == 2);
  BOOST_TEST(state.values["k/part"].mod_revision == 2);
  BOOST_TEST(!RunTxn(state, MakeCreateTxn("k")).value().has_succeeded);
  BOOST_TEST(state.revision == 2);
}

// Guards against a transaction that is refused because of one operation after
// other operations of it have been executed.
BOOST_AUTO_TEST_CASE(RefusedTransactionChangesNothing) {
  StoreState state;
  TxnRequest request = MakeCreateTxn("k");
  request.success.emplace_back(
      PutRequest{"large", std::string(kMaxValueBytes + 1, 'x'), 0});
  BOOST_TEST(
      (RunTxn(state, request).error().code == base::ErrorCode::kTooLarge));
  request.success.back() = PutRequest{"leased", "x", 77};
  BOOST_TEST(
      (RunTxn(state, request).error().code == base::ErrorCode::kMissing));
  BOOST_TEST(state.values.empty());
}

// Guards against a lease that does not expire after its time to live, leaves
// its keys behind, or can be renewed after it has expired.
BOOST_AUTO_TEST_CASE(ExpiredLeaseDeletesItsKeys) {
  StoreState state;
  const base::TimePoint start{};
  const std::uint64_t lease = GrantLease(state, seconds(5), start);
  (void)RunOperation(state, PutRequest{"held", "x", lease});
  KeepLeaseAlive(state, lease, start + seconds(4));
  ExpireLeases(state, start + seconds(8));
  BOOST_TEST(state.values.count("held") == 1U);
  ExpireLeases(state, start + seconds(9));
  BOOST_TEST(state.values.count("held") == 0U);
  BOOST_TEST(KeepLeaseAlive(state, lease, start).count() == 0);
  const auto events = EventsSince(state, {"held", ""}, 3);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].is_delete);
}

// Guards against a version of the VM list that becomes visible before the lag
// has passed.
BOOST_AUTO_TEST_CASE(VmListVersionsBecomeVisibleAfterTheLag) {
  VmListState state;
  state.lag = seconds(10);
  const base::TimePoint start{};
  SetVmEntries(state, {{"a:1", "x", VmState::kLive}}, start);
  SetVmEntries(state, {{"a:1", "x", VmState::kLeaving}}, start + seconds(5));
  BOOST_TEST(VisibleVmEntries(state, start + seconds(9)).empty());
  BOOST_TEST((VisibleVmEntries(state, start + seconds(14))[0].state ==
              VmState::kLive));
  BOOST_TEST((VisibleVmEntries(state, start + seconds(15))[0].state ==
              VmState::kLeaving));
}

}  // namespace poplarfork::standin
