#include <boost/test/unit_test.hpp>

#include <string>

#include "fleet/view_func.h"

namespace poplarfork::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(100)};

// A view of the members m0 (this daemon) to m9, which have all been heard.
View MakeView(const std::string& self = "m0") {
  View view;
  view.self = {self};
  for (int i = 0; i < 10; ++i) {
    MemberRecord record;
    record.member.id = {"m" + std::to_string(i)};
    record.change_revision = {1};
    MergeMember(view, record);
    MarkMemberHeard(view, record.member.id, kNow);
  }
  return view;
}

void Report(View& view,
            const std::string& reader,
            const std::set<base::DaemonId>& members) {
  view.unavailable_reports[{reader}] = {members, kNow};
}

}  // namespace

// Guards against parts of a split fleet that each take the whole fleet's share,
// and against one report that is wrong.
BOOST_AUTO_TEST_CASE(ContactShareCountsMembersThatAllReadersReach) {
  View view = MakeView();
  BOOST_TEST(ContactShare(view, kNow) == 1);
  Report(view, "m1", {{"m5"}, {"m6"}, {"m7"}});
  BOOST_TEST(ContactShare(view, kNow) == 0.7);
  Report(view, "m2", {{"m5"}});
  BOOST_TEST(ContactShare(view, kNow) == 0.9);
}

// Guards against a daemon that is cut off and takes the share of the fleet
// because nobody tells it of unavailable members.
BOOST_AUTO_TEST_CASE(CutOffDaemonCountsOnlyItself) {
  const View view = MakeView();
  BOOST_TEST(ContactShare(view, kNow + milliseconds(2900)) == 1);
  BOOST_TEST(ContactShare(view, kNow + milliseconds(3100)) == 0.1);
}

// Guards against members that have been removed and still count.
BOOST_AUTO_TEST_CASE(RemovedMembersDoNotCount) {
  View view = MakeView();
  for (const char* id : {"m8", "m9"})
    view.members.at({id}).removed = true;
  BOOST_TEST(CountMembers(view) == 8U);
  BOOST_TEST(ContactShare(view, kNow) == 1);
}

// Guards against two members that both take themselves for the first, and
// against a member that does so because it suspects the first one alone.
BOOST_AUTO_TEST_CASE(OneMemberIsFirstInContact) {
  const base::DaemonId first = RankMembers(MakeView(), "key", 1, kNow).front();
  int count = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "m" + std::to_string(i);
    View view = MakeView(id);
    if (id != first.value)
      MarkMemberSuspected(view, first, kNow);
    if (!IsFirstInContact(view, "key", kNow))
      continue;
    ++count;
    BOOST_TEST(id == first.value);
  }
  BOOST_TEST(count == 1);
}

// Guards against accounts without an owner after the first member has failed.
BOOST_AUTO_TEST_CASE(ReportedMemberIsNotFirst) {
  const auto ranked = RankMembers(MakeView(), "key", 2, kNow);
  View view = MakeView(ranked[1].value);
  BOOST_TEST(!IsFirstInContact(view, "key", kNow));
  Report(view, "m9", {ranked[0]});
  BOOST_TEST(IsFirstInContact(view, "key", kNow));
}

}  // namespace poplarfork::fleet
