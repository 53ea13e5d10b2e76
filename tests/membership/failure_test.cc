#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "simulated_fleet.h"

// All fleets in this file use the random seed 20 unless a test states another
// one.

namespace poplarfork::membership::test {

namespace {

constexpr std::uint64_t kSeed = 20;
constexpr std::size_t kNodeCount = 40;
constexpr std::size_t kDataCentreCount = 3;
constexpr base::Duration kSettleTime = seconds(20);

SimulatedFleet MakeSettledFleet(std::size_t count = kNodeCount) {
  SimulatedFleet fleet = StartFleet(kSeed, count, kDataCentreCount);
  RunFor(fleet, kSettleTime);
  fleet.observations.clear();
  return fleet;
}

bool IsInDataCentre(std::size_t node, std::size_t data_centre) {
  return node % kDataCentreCount == data_centre;
}

}  // namespace

// Guards against members that are missing from a member list, and against
// suspicions in a fleet without any fault.
BOOST_AUTO_TEST_CASE(AllMembersAreListedAndNoneIsSuspected) {
  SimulatedFleet fleet = StartFleet(kSeed, kNodeCount, kDataCentreCount);
  RunFor(fleet, seconds(120));
  for (std::size_t node = 0; node < kNodeCount; ++node)
    BOOST_TEST(CountNodesListing(fleet, node) == kNodeCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kSuspected, {}) == 0U);
  BOOST_TEST(fleet.nodes[0].membership.neighbours.size() <= 24U);
}

// Guards against a killed daemon that stays in a member list, and against
// declaring other members dead.
BOOST_AUTO_TEST_CASE(OnlyTheKilledMemberIsDeclaredDead) {
  SimulatedFleet fleet = MakeSettledFleet();
  fleet.nodes[5].mode = RunMode::kStopped;
  RunFor(fleet, seconds(10));
  BOOST_TEST(CountNodesListing(fleet, 5) == 0U);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == kNodeCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}, {5}) == kNodeCount - 1);
}

// Guards against a resumed daemon that suspects the others because their acks
// are still in its own queue, and against one that the others continue to list
// as dead.
BOOST_AUTO_TEST_CASE(PausedMemberIsRemovedAndReturnsWithoutSuspectingOthers) {
  SimulatedFleet fleet = MakeSettledFleet();
  fleet.nodes[7].mode = RunMode::kPaused;
  RunFor(fleet, seconds(20));
  BOOST_TEST(CountNodesListing(fleet, 7) == 0U);
  const base::TimePoint resumed_at = fleet.now;
  Resume(fleet, 7);
  RunFor(fleet, seconds(20));
  BOOST_TEST(CountNodesListing(fleet, 7) == kNodeCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kSuspected, resumed_at) == 0U);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, resumed_at) == 0U);
}

// Guards against declaring a member dead after a short pause.
BOOST_AUTO_TEST_CASE(PauseOfOneSecondCausesNoDeath) {
  SimulatedFleet fleet = MakeSettledFleet();
  fleet.nodes[7].mode = RunMode::kPaused;
  RunFor(fleet, seconds(1));
  Resume(fleet, 7);
  RunFor(fleet, seconds(20));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
}

// Guards against declaring a member dead because a link is broken in one
// direction, whichever it is, and against a broken link that is not reported.
BOOST_AUTO_TEST_CASE(OneWayLinkIsReportedAndCausesNoDeath) {
  for (const bool is_reverse : {false, true}) {
    SimulatedFleet fleet = MakeSettledFleet();
    // Nodes 0 and 3 are in the same data centre and are neighbours.
    const std::size_t from = is_reverse ? 3 : 0;
    const std::size_t to = is_reverse ? 0 : 3;
    fleet.is_message_lost = [from, to](std::size_t sender,
                                       std::size_t receiver) {
      return sender == from && receiver == to;
    };
    RunFor(fleet, seconds(120));
    BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
    BOOST_TEST(CountChanges(fleet, ChangeKind::kLinkBroken, {}, {0, 3}) > 0U);
    const base::TimePoint healed_at = fleet.now;
    fleet.is_message_lost = [](std::size_t, std::size_t) { return false; };
    RunFor(fleet, seconds(60));
    BOOST_TEST(CountChanges(fleet, ChangeKind::kLinkRestored, healed_at) > 0U);
  }
}

// Guards against declaring members dead when messages from one data centre to
// another are lost in one direction while a third data centre reaches both.
BOOST_AUTO_TEST_CASE(OneWayPartitionBetweenTwoDataCentresCausesNoDeath) {
  SimulatedFleet fleet = MakeSettledFleet();
  fleet.is_message_lost = [](std::size_t sender, std::size_t receiver) {
    return IsInDataCentre(sender, 0) && IsInDataCentre(receiver, 1);
  };
  RunFor(fleet, seconds(120));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
}

// Guards against a daemon that is short of CPU time and declares others dead,
// or is declared dead although it replies within a second.
BOOST_AUTO_TEST_CASE(SlowDaemonCausesNoDeath) {
  SimulatedFleet fleet = MakeSettledFleet();
  fleet.nodes[4].max_extra_delay = milliseconds(900);
  RunFor(fleet, seconds(180));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
  std::size_t own_suspicions = 0;
  for (const Observation& observation : fleet.observations) {
    if (observation.observer == 4 &&
        observation.change.kind == ChangeKind::kSuspected &&
        observation.change.reporter.value.empty())
      ++own_suspicions;
  }
  BOOST_TEST(own_suspicions == 0U);
}

// Guards against a daemon that has lost its network connection and declares all
// other members dead.
BOOST_AUTO_TEST_CASE(IsolatedDaemonDeclaresNoMemberDead) {
  SimulatedFleet fleet = MakeSettledFleet();
  fleet.is_message_lost = [](std::size_t sender, std::size_t receiver) {
    return sender == 9 || receiver == 9;
  };
  RunFor(fleet, seconds(60));
  std::size_t own_death_declarations = 0;
  for (const Observation& observation : fleet.observations) {
    if (observation.observer == 9 &&
        observation.change.kind == ChangeKind::kDied)
      ++own_death_declarations;
  }
  BOOST_TEST(own_death_declarations == 0U);
  BOOST_TEST(CountNodesListing(fleet, 9) == 0U);
  const base::TimePoint healed_at = fleet.now;
  fleet.is_message_lost = [](std::size_t, std::size_t) { return false; };
  RunFor(fleet, seconds(30));
  BOOST_TEST(CountNodesListing(fleet, 9) == kNodeCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, healed_at) == 0U);
}

// Guards against a seed that is overloaded, and against member lists that stay
// incomplete, when many VMs join through one seed at the same time.
BOOST_AUTO_TEST_CASE(HundredJoinAtOnceThroughOneSeed) {
  SimulatedFleet fleet = MakeSettledFleet();
  for (std::size_t node = kNodeCount; node < kNodeCount + 100; ++node)
    StartNode(fleet, node, kDataCentreCount, 1, {IdOf(0)});
  const base::TimePoint started_at = fleet.now;
  const auto is_complete = [](const Node& node) {
    return node.membership.members.size() == kNodeCount + 99;
  };
  while (fleet.now - started_at < seconds(30) &&
         !std::all_of(fleet.nodes.begin(), fleet.nodes.end(), is_complete))
    RunFor(fleet, milliseconds(100));
  std::printf("100 daemons joined 40 (seed 20): all lists complete in %.1f s\n",
              std::chrono::duration<double>(fleet.now - started_at).count());
  for (std::size_t node = 0; node < kNodeCount + 100; ++node)
    BOOST_TEST(CountNodesListing(fleet, node) == kNodeCount + 99);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kDied, {}) == 0U);
}

// Guards against a flood of messages, and against declaring members of the
// remaining data centres dead, when a whole data centre is lost at once, and
// against two sides that do not rejoin when it returns.
BOOST_AUTO_TEST_CASE(DataCentreIsLostAndReturns) {
  SimulatedFleet fleet = MakeSettledFleet(120);
  std::uint64_t sent_at_start = 0;
  for (const Node& node : fleet.nodes)
    sent_at_start += node.sent_messages;
  RunFor(fleet, seconds(10));
  std::uint64_t sent_before_loss = 0;
  for (const Node& node : fleet.nodes)
    sent_before_loss += node.sent_messages;
  fleet.is_message_lost = [](std::size_t sender, std::size_t receiver) {
    return IsInDataCentre(sender, 2) != IsInDataCentre(receiver, 2);
  };
  RunFor(fleet, seconds(10));
  std::uint64_t sent_after_loss = 0;
  for (const Node& node : fleet.nodes)
    sent_after_loss += node.sent_messages;
  BOOST_TEST(sent_after_loss - sent_before_loss <
             3 * (sent_before_loss - sent_at_start));
  RunFor(fleet, seconds(10));
  for (const Observation& observation : fleet.observations) {
    if (observation.change.kind == ChangeKind::kDied)
      BOOST_REQUIRE(
          IsInDataCentre(observation.observer, 2) !=
          IsInDataCentre(fleet.index_by_id.at(observation.change.daemon), 2));
  }
  BOOST_TEST(CountNodesListing(fleet, 2) == 39U);
  BOOST_TEST(CountNodesListing(fleet, 0) == 79U);
  fleet.is_message_lost = [](std::size_t, std::size_t) { return false; };
  RunFor(fleet, seconds(90));
  for (std::size_t node = 0; node < 120; ++node)
    BOOST_TEST(CountNodesListing(fleet, node) == 119U);
}

// Guards against a leaving daemon that others do not list as leaving, so that
// callers are still sent to it, and against treating its exit as a failure.
BOOST_AUTO_TEST_CASE(LeavingIsKnownAtOnceAndTheExitIsNoFailure) {
  SimulatedFleet fleet = MakeSettledFleet();
  PerformActions(fleet, 6, StartLeaving(fleet.nodes[6].membership));
  RunFor(fleet, seconds(3));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kLeaving, {}) == kNodeCount - 1);
  BOOST_TEST(CountNodesListing(fleet, 6) == kNodeCount - 1);
  PerformActions(fleet, 6, FinishLeaving(fleet.nodes[6].membership));
  fleet.nodes[6].mode = RunMode::kStopped;
  RunFor(fleet, seconds(5));
  BOOST_TEST(CountNodesListing(fleet, 6) == 0U);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kSuspected, {}) == 0U);
}

// Guards against a restarted daemon that stays dead because its address was
// declared dead, and against a run with a lower incarnation that is not
// reported.
BOOST_AUTO_TEST_CASE(RestartAtTheSameAddressReplacesTheOldRun) {
  SimulatedFleet fleet = MakeSettledFleet();
  fleet.nodes[8].mode = RunMode::kStopped;
  RunFor(fleet, seconds(10));
  BOOST_TEST(CountNodesListing(fleet, 8) == 0U);
  StartNode(fleet, 8, kDataCentreCount, 2, {IdOf(1), IdOf(2)});
  RunFor(fleet, seconds(10));
  BOOST_TEST(CountNodesListing(fleet, 8) == kNodeCount - 1);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kRestarted, {}, {8}) ==
             kNodeCount - 1);
  StartNode(fleet, 8, kDataCentreCount, 1, {IdOf(1), IdOf(2)});
  RunFor(fleet, seconds(3));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kIncarnationOutdated, {}) == 1U);
}

// Guards against dead members that accumulate in memory; in a fleet of full
// size, 9,300 VMs are replaced a day.
BOOST_AUTO_TEST_CASE(DeadMembersArePurgedAndNotAddedAgain) {
  SimulatedFleet fleet = StartFleet(kSeed, 12, kDataCentreCount);
  RunFor(fleet, kSettleTime);
  fleet.nodes[5].mode = RunMode::kStopped;
  RunFor(fleet, minutes(11));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kForgotten, {}, {5}) == 11U);
  for (std::size_t node = 0; node < 12; ++node) {
    if (node != 5)
      BOOST_TEST(fleet.nodes[node].membership.members.size() == 10U);
  }
}

}  // namespace poplarfork::membership::test
