#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "fleet.h"

// All fleets in this file use the random seed 20 unless a test states another
// one.

namespace poplarfork::membership::test {

namespace {

constexpr std::uint64_t kSeed = 20;
constexpr std::size_t kCount = 40;
constexpr std::size_t kDataCentres = 3;
constexpr base::Duration kSettle = seconds(20);

Fleet Settled(std::size_t count = kCount) {
  Fleet fleet = StartFleet(kSeed, count, kDataCentres);
  RunFor(fleet, kSettle);
  fleet.observations.clear();
  return fleet;
}

bool IsIn(std::size_t node, std::size_t data_centre) {
  return node % kDataCentres == data_centre;
}

}  // namespace

// Guards against members that are missing from a member list, and against
// suspicions in a fleet without any fault.
BOOST_AUTO_TEST_CASE(AllMembersAreListedAndNoneIsSuspected) {
  Fleet fleet = StartFleet(kSeed, kCount, kDataCentres);
  RunFor(fleet, seconds(120));
  for (std::size_t node = 0; node < kCount; ++node)
    BOOST_TEST(CountSeeing(fleet, node) == kCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kSuspected, {}) == 0U);
  BOOST_TEST(fleet.nodes[0].membership.neighbours.size() <= 24U);
}

// Guards against a killed daemon that stays in a member list, and against
// declaring other members dead.
BOOST_AUTO_TEST_CASE(OnlyTheKilledMemberIsDeclaredDead) {
  Fleet fleet = Settled();
  fleet.nodes[5].mode = Mode::kStopped;
  RunFor(fleet, seconds(10));
  BOOST_TEST(CountSeeing(fleet, 5) == 0U);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == kCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}, {5}) == kCount - 1);
}

// Guards against a resumed daemon that suspects the others because their acks
// are still in its own queue, and against one that the others continue to list
// as dead.
BOOST_AUTO_TEST_CASE(PausedMemberIsRemovedAndReturnsWithoutAccusingOthers) {
  Fleet fleet = Settled();
  fleet.nodes[7].mode = Mode::kPaused;
  RunFor(fleet, seconds(20));
  BOOST_TEST(CountSeeing(fleet, 7) == 0U);
  const base::TimePoint resumed_at = fleet.now;
  Resume(fleet, 7);
  RunFor(fleet, seconds(20));
  BOOST_TEST(CountSeeing(fleet, 7) == kCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kSuspected, resumed_at) == 0U);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, resumed_at) == 0U);
}

// Guards against declaring a member dead after a short pause.
BOOST_AUTO_TEST_CASE(PauseOfOneSecondCausesNoDeath) {
  Fleet fleet = Settled();
  fleet.nodes[7].mode = Mode::kPaused;
  RunFor(fleet, seconds(1));
  Resume(fleet, 7);
  RunFor(fleet, seconds(20));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
}

// Guards against declaring a member dead because a link is broken in one
// direction, whichever it is, and against a broken link that is not reported.
BOOST_AUTO_TEST_CASE(OneWayLinkIsReportedAndCausesNoDeath) {
  for (const bool is_reverse : {false, true}) {
    Fleet fleet = Settled();
    // Nodes 0 and 3 are in the same data centre and are neighbours.
    const std::size_t from = is_reverse ? 3 : 0;
    const std::size_t to = is_reverse ? 0 : 3;
    fleet.is_cut = [from, to](std::size_t sender, std::size_t receiver) {
      return sender == from && receiver == to;
    };
    RunFor(fleet, seconds(120));
    BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
    BOOST_TEST(CountChanges(fleet, ChangeKind::kLinkBroken, {}, {0, 3}) > 0U);
    const base::TimePoint healed_at = fleet.now;
    fleet.is_cut = [](std::size_t, std::size_t) { return false; };
    RunFor(fleet, seconds(60));
    BOOST_TEST(CountChanges(fleet, ChangeKind::kLinkRestored, healed_at) > 0U);
  }
}

// Guards against declaring members dead when messages from one data centre to
// another are lost in one direction while a third data centre reaches both.
BOOST_AUTO_TEST_CASE(OneWayPartitionBetweenTwoDataCentresCausesNoDeath) {
  Fleet fleet = Settled();
  fleet.is_cut = [](std::size_t sender, std::size_t receiver) {
    return IsIn(sender, 0) && IsIn(receiver, 1);
  };
  RunFor(fleet, seconds(120));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
}

// Guards against a daemon that is short of CPU time and declares others dead,
// or is declared dead although it replies within a second.
BOOST_AUTO_TEST_CASE(SlowDaemonCausesNoDeath) {
  Fleet fleet = Settled();
  fleet.nodes[4].max_lag = milliseconds(900);
  RunFor(fleet, seconds(180));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
  std::size_t own_accusations = 0;
  for (const Observation& seen : fleet.observations) {
    if (seen.observer == 4 && seen.change.kind == ChangeKind::kSuspected &&
        seen.change.reporter.value.empty())
      ++own_accusations;
  }
  BOOST_TEST(own_accusations == 0U);
}

// Guards against a daemon that has lost its network connection and declares all
// other members dead.
BOOST_AUTO_TEST_CASE(IsolatedDaemonDeclaresNoMemberDead) {
  Fleet fleet = Settled();
  fleet.is_cut = [](std::size_t sender, std::size_t receiver) {
    return sender == 9 || receiver == 9;
  };
  RunFor(fleet, seconds(60));
  std::size_t own_verdicts = 0;
  for (const Observation& seen : fleet.observations) {
    if (seen.observer == 9 && seen.change.kind == ChangeKind::kDied)
      ++own_verdicts;
  }
  BOOST_TEST(own_verdicts == 0U);
  BOOST_TEST(CountSeeing(fleet, 9) == 0U);
  const base::TimePoint healed_at = fleet.now;
  fleet.is_cut = [](std::size_t, std::size_t) { return false; };
  RunFor(fleet, seconds(30));
  BOOST_TEST(CountSeeing(fleet, 9) == kCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, healed_at) == 0U);
}

// Guards against a seed that is overloaded, and against member lists that stay
// incomplete, when many VMs join through one seed at the same time.
BOOST_AUTO_TEST_CASE(HundredJoinAtOnceThroughOneSeed) {
  Fleet fleet = Settled();
  for (std::size_t node = kCount; node < kCount + 100; ++node)
    StartNode(fleet, node, kDataCentres, 1, {IdOf(0)});
  const base::TimePoint started_at = fleet.now;
  const auto is_complete = [](const Node& node) {
    return node.membership.members.size() == kCount + 99;
  };
  while (fleet.now - started_at < seconds(30) &&
         !std::all_of(fleet.nodes.begin(), fleet.nodes.end(), is_complete))
    RunFor(fleet, milliseconds(100));
  std::printf("100 daemons joined 40 (seed 20): all lists complete in %.1f s\n",
              std::chrono::duration<double>(fleet.now - started_at).count());
  for (std::size_t node = 0; node < kCount + 100; ++node)
    BOOST_TEST(CountSeeing(fleet, node) == kCount + 99);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
}

// Guards against a flood of messages, and against declaring members of the
// remaining data centres dead, when a whole data centre is lost at once, and
// against two sides that do not rejoin when it returns.
BOOST_AUTO_TEST_CASE(DataCentreIsLostAndReturns) {
  Fleet fleet = Settled(120);
  std::uint64_t before = 0;
  for (const Node& node : fleet.nodes)
    before += node.sent_messages;
  RunFor(fleet, seconds(10));
  std::uint64_t quiet = 0;
  for (const Node& node : fleet.nodes)
    quiet += node.sent_messages;
  fleet.is_cut = [](std::size_t sender, std::size_t receiver) {
    return IsIn(sender, 2) != IsIn(receiver, 2);
  };
  RunFor(fleet, seconds(10));
  std::uint64_t after = 0;
  for (const Node& node : fleet.nodes)
    after += node.sent_messages;
  BOOST_TEST(after - quiet < 3 * (quiet - before));
  RunFor(fleet, seconds(10));
  for (const Observation& seen : fleet.observations) {
    if (seen.change.kind == ChangeKind::kDied)
      BOOST_REQUIRE(IsIn(seen.observer, 2) !=
                    IsIn(fleet.index.at(seen.change.daemon), 2));
  }
  BOOST_TEST(CountSeeing(fleet, 2) == 39U);
  BOOST_TEST(CountSeeing(fleet, 0) == 79U);
  fleet.is_cut = [](std::size_t, std::size_t) { return false; };
  RunFor(fleet, seconds(90));
  for (std::size_t node = 0; node < 120; ++node)
    BOOST_TEST(CountSeeing(fleet, node) == 119U);
}

// Guards against a leaving daemon that others do not list as leaving, so that
// callers are still sent to it, and against treating its exit as a failure.
BOOST_AUTO_TEST_CASE(LeavingIsKnownAtOnceAndTheExitIsNoFailure) {
  Fleet fleet = Settled();
  Perform(fleet, 6, StartLeaving(fleet.nodes[6].membership));
  RunFor(fleet, seconds(3));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kLeaving, {}) == kCount - 1);
  BOOST_TEST(CountSeeing(fleet, 6) == kCount - 1);
  Perform(fleet, 6, FinishLeaving(fleet.nodes[6].membership));
  fleet.nodes[6].mode = Mode::kStopped;
  RunFor(fleet, seconds(5));
  BOOST_TEST(CountSeeing(fleet, 6) == 0U);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kSuspected, {}) == 0U);
}

// Guards against a restarted daemon that stays dead because its address was
// declared dead, and against a run with a lower incarnation that is not
// reported.
BOOST_AUTO_TEST_CASE(RestartAtTheSameAddressReplacesTheOldRun) {
  Fleet fleet = Settled();
  fleet.nodes[8].mode = Mode::kStopped;
  RunFor(fleet, seconds(10));
  BOOST_TEST(CountSeeing(fleet, 8) == 0U);
  StartNode(fleet, 8, kDataCentres, 2, {IdOf(1), IdOf(2)});
  RunFor(fleet, seconds(10));
  BOOST_TEST(CountSeeing(fleet, 8) == kCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kRestarted, {}, {8}) ==
             kCount - 1);
  StartNode(fleet, 8, kDataCentres, 1, {IdOf(1), IdOf(2)});
  RunFor(fleet, seconds(3));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kIncarnationOutdated, {}) == 1U);
}

// Guards against dead members that accumulate in memory; in a fleet of full
// size, 9,300 VMs are replaced a day.
BOOST_AUTO_TEST_CASE(DeadMembersArePurgedAndNotAddedAgain) {
  Fleet fleet = StartFleet(kSeed, 12, kDataCentres);
  RunFor(fleet, kSettle);
  fleet.nodes[5].mode = Mode::kStopped;
  RunFor(fleet, minutes(11));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kForgotten, {}, {5}) == 11U);
  for (std::size_t node = 0; node < 12; ++node) {
    if (node != 5)
      BOOST_TEST(fleet.nodes[node].membership.members.size() == 10U);
  }
}

}  // namespace poplarfork::membership::test
