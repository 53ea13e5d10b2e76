#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <string>
#include <vector>

#include <membership.pb.h>

#include "simulated_fleet.h"

// Tests of the inputs of the failure detector: payloads, the VM list, load and
// revision. All fleets use the random seed 20 unless a test states other seeds.

namespace poplarfork::membership::test {

namespace {

constexpr std::uint64_t kSeed = 20;
constexpr std::size_t kNodeCount = 12;

SimulatedFleet MakeSettledFleet() {
  SimulatedFleet fleet = StartFleet(kSeed, kNodeCount, 3);
  RunFor(fleet, seconds(20));
  fleet.observations.clear();
  return fleet;
}

// Returns a VM list of all nodes except `missing`.
VmList MakeVmListWithout(std::size_t missing) {
  VmList list;
  for (std::size_t node = 0; node < kNodeCount; ++node) {
    if (node != missing)
      list.vms.push_back({IdOf(node), false});
  }
  return list;
}

void GiveVmListToAll(SimulatedFleet& fleet, const VmList& list) {
  for (std::size_t node = 0; node < kNodeCount; ++node)
    PerformActions(fleet, node,
                   HandleVmListUpdate(fleet.nodes[node].membership, list));
}

}  // namespace

// Guards against payloads that crash the process or change the member list:
// random bytes, truncated payloads, messages of other kinds, and entries in the
// name of another daemon.
BOOST_AUTO_TEST_CASE(MalformedPayloadsAreCountedAndChangeNothing) {
  SimulatedFleet fleet = MakeSettledFleet();
  Membership& membership = fleet.nodes[0].membership;
  const std::uint64_t view = membership.member_list_version;
  base::Rng rng(kSeed);
  proto::Join other;
  other.mutable_self()->set_daemon(IdOf(5).value);
  proto::Probe valid;
  valid.add_updates()->set_daemon(IdOf(3).value);
  const std::string whole = valid.SerializeAsString();
  std::vector<std::string> payloads = {"\xff\xff\xff",
                                       whole.substr(0, whole.size() - 1)};
  for (int i = 0; i < 200; ++i) {
    std::string random = "\xff";
    for (int k = 0; k < 40; ++k)
      random.push_back(static_cast<char>(base::UniformBelow(rng, 256)));
    payloads.push_back(random);
  }
  for (const std::string& payload : payloads) {
    for (const int kind : {1, 2, 3, 4, 5, 12, 6, 16})
      HandleMessage(membership,
                    {IdOf(1), base::Incarnation{1}, DataCentreOf(1, 3),
                     static_cast<proto::MessageKind>(kind), payload},
                    fleet.now);
  }
  HandleMessage(membership,
                {IdOf(1), base::Incarnation{1}, DataCentreOf(1, 3), proto::JOIN,
                 other.SerializeAsString()},
                fleet.now);
  proto::Probe wrong;
  wrong.set_version(1);
  for (proto::MemberUpdate* update :
       {wrong.add_updates(), wrong.add_updates(), wrong.add_updates()}) {
    update->set_daemon(IdOf(3).value);
    update->set_incarnation(9);
  }
  wrong.mutable_updates(0)->set_edge_address(std::string(1000, 'x'));
  wrong.mutable_updates(1)->set_version(0xffffffff);
  wrong.mutable_updates(2)->set_state(static_cast<proto::MemberState>(9));
  HandleMessage(membership,
                {IdOf(1), base::Incarnation{1}, DataCentreOf(1, 3), proto::ACK,
                 wrong.SerializeAsString()},
                fleet.now);
  BOOST_TEST(membership.counters.malformed_inputs ==
             payloads.size() * 8 + 1 + 3);
  BOOST_TEST(membership.member_list_version == view);
}

// Guards against a lagging VM list that removes members which still acknowledge
// probes, and against ignoring the list when probes fail as well.
BOOST_AUTO_TEST_CASE(MissingVmCountsOnlyTogetherWithFailedProbes) {
  SimulatedFleet fleet = MakeSettledFleet();
  GiveVmListToAll(fleet, MakeVmListWithout(5));
  RunFor(fleet, seconds(30));
  BOOST_TEST(CountNodesListing(fleet, 5) == kNodeCount - 1);
  const auto first_death = [&fleet](std::size_t node) {
    const base::TimePoint killed_at = fleet.now;
    fleet.nodes[node].mode = RunMode::kStopped;
    RunFor(fleet, seconds(10));
    for (const Observation& observation : fleet.observations) {
      if (observation.change.kind == ChangeKind::kDied &&
          observation.observed_at >= killed_at)
        return observation.observed_at - killed_at;
    }
    return base::Duration::max();
  };
  const base::Duration missing = first_death(5);
  const base::Duration listed = first_death(6);
  BOOST_TEST(missing.count() < seconds(3).count() * 1000000);
  BOOST_TEST((missing < listed));
}

// Guards against a leaving mark that takes effect only after a probe or a
// second VM list, and against a daemon that ignores the mark of its own VM.
BOOST_AUTO_TEST_CASE(LeavingMarkTakesEffectAtOnce) {
  SimulatedFleet fleet = MakeSettledFleet();
  VmList list = MakeVmListWithout(kNodeCount);
  list.vms[4].is_leaving = true;
  GiveVmListToAll(fleet, list);
  BOOST_TEST(CountChanges(fleet, ChangeKind::kLeaving, fleet.now, {4}) ==
             kNodeCount);
  for (const LiveMember& member : LiveMembers(fleet.nodes[0].membership)) {
    if (member.daemon == IdOf(4))
      BOOST_TEST((member.state == MemberState::kLeaving));
  }
  GiveVmListToAll(fleet, list);
  GiveVmListToAll(fleet, MakeVmListWithout(kNodeCount));
  BOOST_TEST(CountChanges(fleet, ChangeKind::kLeaving, fleet.now, {4}) ==
             kNodeCount + 1);
}

// Guards against a daemon that never joins because its first VM list was empty.
BOOST_AUTO_TEST_CASE(DaemonWithoutSeedsJoinsThroughTheVmList) {
  SimulatedFleet fleet = MakeSettledFleet();
  StartNode(fleet, kNodeCount, 3, 1, {});
  RunFor(fleet, seconds(5));
  BOOST_TEST(fleet.nodes[kNodeCount].membership.members.empty());
  PerformActions(fleet, kNodeCount,
                 HandleVmListUpdate(fleet.nodes[kNodeCount].membership,
                                    MakeVmListWithout(kNodeCount)));
  RunFor(fleet, seconds(5));
  BOOST_TEST(CountNodesListing(fleet, kNodeCount) == kNodeCount);
}

// Guards against a revision or a high load that does not reach the peers.
BOOST_AUTO_TEST_CASE(RevisionAndHighLoadReachPeers) {
  SimulatedFleet fleet = MakeSettledFleet();
  SetRevision(fleet.nodes[2].membership, base::Revision{42});
  SetLoad(fleet.nodes[2].membership, 90, fleet.now);
  RunFor(fleet, seconds(20));
  for (std::size_t node = 0; node < kNodeCount; ++node) {
    for (const LiveMember& member : LiveMembers(fleet.nodes[node].membership)) {
      if (member.daemon == IdOf(2)) {
        BOOST_TEST(static_cast<int>(member.load) == 90);
        BOOST_TEST(member.revision.value == 42U);
      }
    }
  }
  proto::Probe probe;
  probe.set_version(1);
  probe.set_revision(43);
  const Actions actions =
      HandleMessage(fleet.nodes[0].membership,
                    {IdOf(1), base::Incarnation{1}, DataCentreOf(1, 3),
                     proto::PROBE, probe.SerializeAsString()},
                    fleet.now);
  BOOST_REQUIRE(actions.revisions.size() == 1U);
  BOOST_TEST(actions.revisions.front().revision.value == 43U);
}

// Guards against declaring live members dead when faults coincide: 2 percent of
// the messages are lost, 3 daemons are short of CPU time, and others pause for
// a second.
BOOST_AUTO_TEST_CASE(CoincidingFaultsCauseNoFalseDeath) {
  std::size_t false_deaths = 0;
  std::size_t suspicions = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet = StartFleet(seed, 40, 3);
    RunFor(fleet, seconds(20));
    fleet.observations.clear();
    fleet.is_message_lost = [&fleet](std::size_t, std::size_t) {
      return base::UniformBelow(fleet.rng, 50) == 0;
    };
    for (const std::size_t slow : {3, 13, 23})
      fleet.nodes[slow].max_extra_delay = milliseconds(700);
    for (int round = 0; round < 30; ++round) {
      const std::size_t paused = base::UniformBelow(fleet.rng, 40);
      fleet.nodes[paused].mode = RunMode::kPaused;
      RunFor(fleet, seconds(1));
      Resume(fleet, paused);
      RunFor(fleet, seconds(3));
    }
    false_deaths += CountChanges(fleet, ChangeKind::kDied, {});
    suspicions += CountChanges(fleet, ChangeKind::kSuspected, {});
  }
  std::printf(
      "coinciding faults, seeds 1 to 10, 20 minutes of 40 members: %zu "
      "suspicions, %zu false deaths\n",
      suspicions, false_deaths);
  BOOST_TEST(false_deaths == 0U);
}

}  // namespace poplarfork::membership::test
