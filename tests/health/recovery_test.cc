#include <boost/test/unit_test.hpp>

#include "health/ejection_func.h"
#include "health/recovery_func.h"
#include "health_helper.h"

namespace poplarfork::health {

namespace {

void AvoidUpstreamNow(TestDaemon& daemon,
                      std::uint32_t upstream,
                      double suspicion) {
  AvoidUpstream(daemon.health, upstream, Reason::kFailures, suspicion,
                daemon.now, daemon.rng, daemon.actions);
}

bool IsOneAtATime(const TestDaemon& daemon, std::uint32_t upstream) {
  const RoutingView view = BuildRoutingView(daemon.health, daemon.now);
  for (const RoutableUpstream& one : RoutableUpstreams(view)) {
    if (one.index == upstream)
      return one.one_at_a_time;
  }
  return false;
}

}  // namespace

// Guards against sending the full load to an upstream that has just recovered.
BOOST_AUTO_TEST_CASE(RecoveryUsesTrialAndRamp) {
  TestDaemon daemon(MakeService(4, 1, 0.5));
  AvoidUpstreamNow(daemon, 1, 20);
  daemon.AdvanceTime(std::chrono::seconds(9));
  BOOST_TEST(!daemon.IsRoutable(1));
  daemon.AdvanceTime(std::chrono::seconds(3));
  BOOST_TEST(IsOneAtATime(daemon, 1));
  for (int i = 0; i < 3; ++i)
    daemon.SendRequest(1, RequestOutcome::kSuccess);
  BOOST_TEST(!IsOneAtATime(daemon, 1));
  const double first =
      BuildRoutingView(daemon.health, daemon.now).entries[1].weight;
  daemon.AdvanceTime(std::chrono::seconds(5));
  const double second =
      BuildRoutingView(daemon.health, daemon.now).entries[1].weight;
  BOOST_TEST(first < 0.2);
  BOOST_TEST(second > 0.4);
  BOOST_TEST(second < 0.7);
  daemon.AdvanceTime(std::chrono::seconds(6));
  BOOST_TEST(daemon.HasAction(ActionKind::kRestore, Reason::kRampOver, 1));
}

// Guards against a flapping upstream that recovers every 10 s, and against a
// hold-down that never becomes shorter again.
BOOST_AUTO_TEST_CASE(HoldDownDoublesAndHalves) {
  BOOST_TEST((HoldDownDuration(0) == std::chrono::seconds(10)));
  BOOST_TEST((HoldDownDuration(3) == std::chrono::seconds(80)));
  BOOST_TEST((HoldDownDuration(6) == std::chrono::minutes(10)));
  BOOST_TEST((HoldDownDuration(60) == std::chrono::minutes(10)));
  TestDaemon daemon(MakeService(4, 1, 0.5));
  AvoidUpstreamNow(daemon, 1, 20);
  daemon.AdvanceTime(std::chrono::seconds(12));
  daemon.SendRequest(1, RequestOutcome::kFailure);
  BOOST_TEST(daemon.HasAction(ActionKind::kAvoid, Reason::kTrialFailed, 1));
  BOOST_TEST(daemon.health.upstreams[1].hold_down_level == 2U);
  daemon.AdvanceTime(std::chrono::seconds(25));
  for (int i = 0; i < 3; ++i)
    daemon.SendRequest(1, RequestOutcome::kSuccess);
  daemon.AdvanceTime(std::chrono::minutes(11));
  BOOST_TEST(daemon.health.upstreams[1].hold_down_level == 1U);
  daemon.AdvanceTime(std::chrono::minutes(10));
  BOOST_TEST(daemon.health.upstreams[1].hold_down_level == 0U);
  BOOST_TEST(daemon.health.recovering.empty());
}

// Guards against a drain that leaves the service below its floor although an
// avoided upstream could serve: the least suspect one must be in service again
// in the same step.
BOOST_AUTO_TEST_CASE(DrainReturnsLeastSuspectToService) {
  TestDaemon daemon(MakeService(6, 1, 0.5));
  AvoidUpstreamNow(daemon, 0, 30);
  AvoidUpstreamNow(daemon, 1, 20);
  AvoidUpstreamNow(daemon, 2, 25);
  BOOST_TEST(!daemon.IsRoutable(1));
  const Actions caused =
      daemon.DeliverEvent(DrainChanged{MakeUpstreamId(5), true});
  BOOST_TEST(!daemon.IsRoutable(5));
  BOOST_TEST(daemon.IsRoutable(1));
  BOOST_TEST(!daemon.IsRoutable(2));
  BOOST_TEST(daemon.HasAction(ActionKind::kKeepForFloor, Reason::kFloor, 1));
  BOOST_TEST(caused.front().inputs.floor_slots == 3U);
}

// Guards against removing an upstream that the floor keeps in service because
// of old evidence, after it has served well.
BOOST_AUTO_TEST_CASE(KeptUpstreamRampsAfterGoodResponses) {
  TestDaemon daemon(MakeService(2, 1, 0.9));
  AvoidUpstreamNow(daemon, 0, 20);
  BOOST_TEST(daemon.IsRoutable(0));
  for (int i = 0; i < 3; ++i)
    daemon.SendRequest(0, RequestOutcome::kSuccess);
  BOOST_TEST((daemon.health.upstreams[0].phase == Phase::kRamp));
}

// Guards against losing requests in flight, or confusing upstreams, when a
// release note adds and removes upstreams while requests are in flight.
BOOST_AUTO_TEST_CASE(ServiceChangesKeepStateById) {
  TestDaemon daemon(MakeService(4, 1, 0.5));
  AvoidUpstreamNow(daemon, 3, 20);
  daemon.StartRequest(0, false);
  daemon.StartRequest(2, false);
  note::Service changed = MakeService(5, 1, 0.5);
  changed.upstreams.erase(MakeUpstreamId(0));
  daemon.DeliverEvent(ServiceChanged{changed});
  BOOST_REQUIRE_EQUAL(daemon.health.upstreams.size(), 4U);
  BOOST_REQUIRE_EQUAL(daemon.health.in_flight.size(), 1U);
  const std::uint32_t position =
      daemon.health.in_flight.begin()->second.upstream_index;
  BOOST_TEST((daemon.health.upstreams[position].id == MakeUpstreamId(2)));
  BOOST_TEST((daemon.health.upstreams[2].phase == Phase::kAvoided));
  BOOST_TEST(daemon.HasAction(ActionKind::kStartRamp, Reason::kAdded, 4));
}

// Guards against probing every upstream from every daemon.
BOOST_AUTO_TEST_CASE(EachUpstreamHasThreeProbers) {
  std::vector<GroupMember> members;
  for (std::uint32_t i = 0; i < 40; ++i)
    members.push_back(MakeMember(i, 3));
  std::vector<int> probers(10, 0);
  for (const GroupMember& member : members) {
    TestDaemon daemon(MakeService(10, 3, 0.5), member);
    daemon.DeliverEvent(GroupChanged{members});
    for (std::size_t i = 0; i < probers.size(); ++i)
      probers[i] += daemon.health.upstreams[i].probed_by_self ? 1 : 0;
  }
  for (const int count : probers)
    BOOST_TEST(count == 3);
}

}  // namespace poplarfork::health
