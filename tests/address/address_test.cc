#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "address/drain_func.h"
#include "address/selection_func.h"

namespace poplarfork::address {

namespace {

using membership::LiveMember;
using membership::MemberState;

constexpr std::uint64_t kSeed = 7;

struct Group {
  std::vector<LiveMember> members;
  std::vector<base::DaemonId> ids;
};

void AddMember(Group& group,
               const std::string& data_centre,
               MemberState state = MemberState::kAlive,
               std::uint8_t load = 10) {
  const std::string name =
      "10.0.0." + std::to_string(100 + group.members.size());
  LiveMember member;
  member.daemon.value = name + ":7946";
  member.edge_address = name + ":8080";
  member.data_centre.value = data_centre;
  member.state = state;
  member.load = load;
  group.ids.push_back(member.daemon);
  group.members.push_back(member);
}

const LiveMember& MemberAt(const Group& group, const Address& address) {
  return *std::find_if(group.members.begin(), group.members.end(),
                       [&](const LiveMember& member) {
                         return member.edge_address == address.edge_address;
                       });
}

std::set<std::string> DataCentres(const AddressAnswer& answer) {
  std::set<std::string> names;
  for (const Address& address : answer.addresses)
    names.insert(address.data_centre.value);
  return names;
}

AddressAnswer ChooseForCaller(const Group& group,
                              const std::string& caller_data_centre,
                              base::Rng& rng) {
  return ChooseAddresses(group.members, group.ids, {caller_data_centre}, rng);
}

}  // namespace

// Guards against answers whose addresses all fail together, against leaving
// daemons in answers, and against a wrong order of addresses, over many random
// draws.
BOOST_AUTO_TEST_CASE(AnswersKeepTheirOrderAndSpanTwoDataCentres) {
  base::Rng rng(kSeed);
  Group group;
  for (int i = 0; i < 30; ++i) {
    const auto state = i % 7 == 0 ? MemberState::kLeaving : MemberState::kAlive;
    AddMember(group, "dc" + std::to_string(i % 3), state, i % 2 == 0 ? 10 : 95);
  }
  std::map<std::string, int> use_counts;
  for (int round = 0; round < 500; ++round) {
    const AddressAnswer answer = ChooseForCaller(group, "dc1", rng);
    BOOST_REQUIRE(answer.addresses.size() == kMaxAddresses);
    BOOST_REQUIRE(DataCentres(answer).size() >= 2U);
    bool is_remote = false;
    bool has_high_load = false;
    for (const Address& address : answer.addresses) {
      const LiveMember& member = MemberAt(group, address);
      BOOST_REQUIRE((member.state == MemberState::kAlive));
      const bool is_first_remote =
          !is_remote && member.data_centre.value != "dc1";
      has_high_load = !is_first_remote && has_high_load;
      is_remote = is_remote || is_first_remote;
      BOOST_REQUIRE(is_remote == (member.data_centre.value != "dc1"));
      BOOST_REQUIRE((!has_high_load || member.load >= kHighLoadPercent));
      has_high_load = member.load >= kHighLoadPercent;
      ++use_counts[address.edge_address];
    }
  }
  // Of the 30 daemons, 9 are highly loaded and in other data centres, and 5 are
  // leaving. The remaining ones are used.
  BOOST_TEST(use_counts.size() >= 16U);
}

// Guards against a caller from an unknown data centre that gets addresses of
// only one data centre, also if all daemons of the other one are highly loaded.
BOOST_AUTO_TEST_CASE(UnknownCallerGetsTwoDataCentres) {
  base::Rng rng(kSeed);
  Group group;
  for (int i = 0; i < 20; ++i)
    AddMember(group, "dc1");
  AddMember(group, "dc2", MemberState::kAlive, 95);
  for (int round = 0; round < 50; ++round)
    BOOST_REQUIRE(DataCentres(ChooseForCaller(group, "", rng)).size() == 2U);
}

// Guards against an empty answer while a suspect may still serve, and against
// suspects or members outside the group in other answers.
BOOST_AUTO_TEST_CASE(SuspectsAreUsedOnlyWhenTooFewAreLeft) {
  base::Rng rng(kSeed);
  Group group;
  AddMember(group, "dc1");
  AddMember(group, "dc2", MemberState::kSuspect);
  BOOST_TEST(ChooseForCaller(group, "dc2", rng).addresses.size() == 2U);
  AddMember(group, "dc3");
  const AddressAnswer answer = ChooseForCaller(group, "dc2", rng);
  BOOST_TEST(answer.addresses.size() == 2U);
  BOOST_TEST(DataCentres(answer).count("dc2") == 0U);
  group.ids.resize(2);
  group.ids.push_back({"10.9.9.9:7946"});
  BOOST_TEST(ChooseForCaller(group, "dc3", rng).addresses.size() == 2U);
  group.ids = {{"10.9.9.9:7946"}};
  BOOST_TEST(ChooseForCaller(group, "dc3", rng).addresses.empty());
}

// Guards against a shutdown that refuses callers whose cached answers are still
// valid, or that interrupts requests in flight.
BOOST_AUTO_TEST_CASE(ShutdownWaitsForCachedAnswersAndRequests) {
  Drain drain;
  const base::TimePoint start(std::chrono::hours(1));
  BOOST_TEST((HandleSigterm(drain, start) ==
              DrainActions{DrainAction::kAnnounceLeaving}));
  const base::TimePoint answers_expired =
      start + kAnswerLifetime + kLeavingNoticeMargin;
  BOOST_TEST(
      AdvanceDrain(drain, 0, answers_expired - base::Duration(1)).empty());
  BOOST_TEST(IsAccepting(drain));
  BOOST_TEST((AdvanceDrain(drain, 3, answers_expired) ==
              DrainActions{DrainAction::kStopAccepting}));
  BOOST_TEST(!IsAccepting(drain));
  BOOST_TEST(AdvanceDrain(drain, 1, answers_expired + std::chrono::minutes(9))
                 .empty());
  BOOST_TEST(
      (AdvanceDrain(drain, 0, answers_expired + std::chrono::minutes(9)) ==
       DrainActions{DrainAction::kExit}));
  BOOST_TEST(
      AdvanceDrain(drain, 0, answers_expired + std::chrono::hours(1)).empty());
}

// Guards against requests that never end and keep the process alive, against a
// second SIGTERM that has no effect, and against a mark in the VM list that
// ends the process at once during a shutdown, as a second SIGTERM does.
BOOST_AUTO_TEST_CASE(ShutdownEndsAtTheDrainLimitOrWithTheSecondSignal) {
  Drain bounded;
  const base::TimePoint start(std::chrono::hours(1));
  StartDrain(bounded, start);
  BOOST_TEST(StartDrain(bounded, start).empty());
  const base::TimePoint drain_start =
      start + kAnswerLifetime + kLeavingNoticeMargin;
  AdvanceDrain(bounded, 1, drain_start);
  BOOST_TEST((AdvanceDrain(bounded, 1, drain_start + kDefaultDrainLimit) ==
              DrainActions{DrainAction::kAbortRequests, DrainAction::kExit}));
  Drain signalled;
  HandleSigterm(signalled, start);
  BOOST_TEST(
      (HandleSigterm(signalled, start) == DrainActions{DrainAction::kExit}));
}

}  // namespace poplarfork::address
