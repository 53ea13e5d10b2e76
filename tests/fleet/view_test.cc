#include <boost/test/unit_test.hpp>

#include "fleet/view_func.h"

namespace poplarfork::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(100)};

MemberRecord MakeMember(const std::string& id, const std::string& data_centre) {
  MemberRecord record;
  record.member.id = {id};
  record.member.front_address = "front-" + id;
  record.member.data_centre = {data_centre};
  record.change_revision = {1};
  return record;
}

UpstreamRecord MakeUpstream(const std::string& id,
                            std::uint64_t change_revision) {
  UpstreamRecord record;
  record.entry.id = {id};
  record.entry.service = {"orders"};
  record.entry.address = "10.0.0.1:80";
  record.change_revision = {change_revision};
  return record;
}

View MakeView(int members) {
  View view;
  view.self = {"m0"};
  for (int i = 0; i < members; ++i)
    MergeMember(view, MakeMember("m" + std::to_string(i), "a"));
  return view;
}

}  // namespace

// Guards against a removal that is undone by an older record from another
// daemon.
BOOST_AUTO_TEST_CASE(OlderRecordsDoNotUndoARemoval) {
  View view;
  BOOST_TEST(MergeUpstream(view, MakeUpstream("u", 5)));
  UpstreamRecord removal = MakeUpstream("u", 7);
  removal.removed = true;
  BOOST_TEST(MergeUpstream(view, removal));
  BOOST_TEST(!MergeUpstream(view, MakeUpstream("u", 6)));
  BOOST_TEST(view.upstreams.at({"u"}).removed);
}

// Guards against heartbeats that count as changes and are therefore sent to all
// daemons.
BOOST_AUTO_TEST_CASE(RepeatedEntriesAreNoChange) {
  View view;
  MergeUpstream(view, MakeUpstream("u", 5));
  BOOST_TEST(!MergeUpstream(view, MakeUpstream("u", 9)));
}

// Guards against an upstream's restart with the same id that goes unnoticed.
BOOST_AUTO_TEST_CASE(NewIncarnationIsAChange) {
  View view;
  MergeUpstream(view, MakeUpstream("u", 5));
  UpstreamRecord restarted = MakeUpstream("u", 9);
  restarted.entry.incarnation = {2};
  BOOST_TEST(MergeUpstream(view, restarted));
}

// Guards against daemons that send slot requests for one service to different
// dispatchers.
BOOST_AUTO_TEST_CASE(DaemonsAgreeOnTheRanking) {
  View first = MakeView(36);
  View second = MakeView(36);
  second.self = {"m20"};
  BOOST_TEST((RankMembers(first, "dispatch:orders", 3, kNow) ==
              RankMembers(second, "dispatch:orders", 3, kNow)));
}

// Guards against waiting for a dispatcher that does not reply, and against
// skipping it permanently after a short freeze.
BOOST_AUTO_TEST_CASE(SuspectedMembersAreSkippedTemporarily) {
  View view = MakeView(5);
  const auto first = RankMembers(view, "dispatch:orders", 5, kNow);
  const base::DaemonId other = first[0] == view.self ? first[1] : first[0];
  MarkMemberSuspected(view, other, kNow);
  BOOST_TEST(!IsEligible(view, other, kNow));
  BOOST_TEST(IsEligible(view, other, kNow + kSuspicionTime));
  MarkMemberSuspected(view, other, kNow);
  MarkMemberHeard(view, other, kNow);
  BOOST_TEST(IsEligible(view, other, kNow));
}

// Guards against one reader with a cut network path that makes the fleet avoid
// members from which the other reader receives messages.
BOOST_AUTO_TEST_CASE(OneReaderAloneMakesNoMemberUnavailable) {
  View view = MakeView(5);
  view.unavailable_reports[{"m1"}] = {{{"m3"}}, kNow};
  view.unavailable_reports[{"m2"}] = {{}, kNow};
  BOOST_TEST(IsEligible(view, {"m3"}, kNow));
  view.unavailable_reports[{"m2"}] = {{{"m3"}}, kNow};
  BOOST_TEST(!IsEligible(view, {"m3"}, kNow));
  BOOST_TEST(IsEligible(view, {"m3"}, kNow + seconds(10)));
}

// Guards against an isolated daemon that finds no member to read the store.
BOOST_AUTO_TEST_CASE(TheDaemonItselfIsAlwaysEligible) {
  View view;
  view.self = {"alone"};
  BOOST_TEST(RankMembers(view, "x", 3, kNow).size() == 1U);
  BOOST_TEST((SelectStoreReaders(view, kNow).front() == view.self));
}

// Guards against readers whose requests the store rejects while it serves other
// daemons.
BOOST_AUTO_TEST_CASE(ReadersWithStaleReadsAreSkipped) {
  View view = MakeView(10);
  const auto before = SelectStoreReaders(view, kNow);
  view.members.at(before[0]).store_stale = true;
  const auto after = SelectStoreReaders(view, kNow);
  BOOST_TEST((after[0] == before[1]));
  for (auto& [id, record] : view.members)
    record.store_stale = true;
  BOOST_TEST(SelectStoreReaders(view, kNow).size() == 2U);
}

// Guards against an upstream that stays in use for ever because its removal has
// been forgotten by all daemons.
BOOST_AUTO_TEST_CASE(CompleteListsRemoveUnlistedRecords) {
  View view;
  view.self = {"m0"};
  MergeUpstream(view, MakeUpstream("old", 5));
  MergeUpstream(view, MakeUpstream("kept", 6));
  MergeUpstream(view, MakeUpstream("newer", 30));
  const AbsentRecords absent =
      FindAbsentRecords(view, {{"kept"}}, {}, StoreRevision{20}, kNow);
  BOOST_REQUIRE(absent.upstreams.size() == 1U);
  BOOST_TEST(absent.upstreams[0].entry.id.value == "old");
  BOOST_TEST(absent.upstreams[0].removed);
}

// Guards against all callers being sent to the few daemons that are left in
// their data centre.
BOOST_AUTO_TEST_CASE(CallersAreDistributedIfLocalDaemonsAreFew) {
  View view;
  view.self = {"m0"};
  for (int i = 0; i < 4; ++i)
    MergeMember(view, MakeMember("m" + std::to_string(i), "a"));
  MergeMember(view, MakeMember("m9", "b"));
  BOOST_TEST(CallerAddresses(view, {"a"}, 64, kNow).size() == 4U);
  BOOST_TEST(CallerAddresses(view, {"b"}, 64, kNow).size() == 5U);
  view.members.at({"m0"}).accepting = false;
  BOOST_TEST(CallerAddresses(view, {"a"}, 64, kNow).size() == 4U);
  BOOST_TEST(CallerAddresses(view, {"a"}, 2, kNow).size() == 2U);
}

}  // namespace poplarfork::fleet
