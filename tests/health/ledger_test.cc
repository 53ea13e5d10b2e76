#include <boost/test/unit_test.hpp>

#include "health/coordinator_func.h"
#include "health/ledger_func.h"
#include "health/message_func.h"
#include "health/name_func.h"
#include "health_helper.h"

namespace poplarfork::health {

namespace {

std::vector<GroupMember> MakeMembers(std::uint32_t count,
                                     std::uint32_t data_centres) {
  std::vector<GroupMember> members;
  for (std::uint32_t i = 0; i < count; ++i)
    members.push_back(MakeMember(i, data_centres));
  return members;
}

// Returns the coordinator of a group of 6 daemons, for a service with 9
// upstreams in 3 data centres.
TestDaemon MakeCoordinator() {
  const note::Service service = MakeService(9, 3, 0.5);
  const std::vector<GroupMember> members = MakeMembers(6, 3);
  const base::DaemonId id = SelectCoordinator(service.id, members);
  for (const GroupMember& member : members) {
    if (member.daemon != id)
      continue;
    TestDaemon daemon(service, member);
    daemon.DeliverEvent(GroupChanged{members});
    daemon.WarmUp();
    Ledger empty;
    empty.service = service.id;
    daemon.DeliverEvent(LedgerReceived{empty, true});
    return daemon;
  }
  throw std::logic_error("no coordinator");
}

// Delivers reports of bad requests at an upstream by two daemons of each data
// centre.
void SendReports(TestDaemon& daemon,
                 std::uint32_t upstream,
                 const std::vector<std::uint32_t>& data_centres) {
  for (int round = 0; round < 10; ++round) {
    for (const std::uint32_t data_centre : data_centres) {
      HealthReport report;
      report.service = daemon.health.service;
      report.observer = MakeMember(data_centre + round % 2 * 3, 3).daemon;
      report.data_centre = MakeMember(data_centre, 3).data_centre;
      report.request_rate = 20;
      report.items = {{MakeUpstreamId(upstream), 2, 0, false}};
      daemon.DeliverEvent(ReportReceived{report});
    }
    daemon.AdvanceTime(kTickInterval);
  }
}

const Action* FindAction(const Actions& actions, ActionKind kind) {
  for (const Action& action : actions) {
    if (action.kind == kind)
      return &action;
  }
  return nullptr;
}

Ledger MakeLedger(std::uint64_t version, std::uint32_t upstream) {
  Ledger ledger;
  ledger.service = {"booking"};
  ledger = AddEjection(ledger, MakeUpstreamId(upstream), 1,
                       std::chrono::seconds(60));
  ledger.version = version;
  return ledger;
}

}  // namespace

// Guards against reusing the capacity of a removed entry while a daemon may
// still apply the entry.
BOOST_AUTO_TEST_CASE(RemovedEntriesStayCounted) {
  const LedgerCapacity capacity{4, 0, 0.5};
  Ledger ledger;
  ledger = AddEjection(ledger, MakeUpstreamId(0), 1, std::chrono::seconds(10));
  ledger = AddEjection(ledger, MakeUpstreamId(1), 1, std::chrono::seconds(10));
  const auto test = [&capacity](const Ledger& tested, std::uint32_t upstream) {
    return CheckEjection(tested, capacity, MakeUpstreamId(upstream), 1);
  };
  BOOST_TEST((test(ledger, 2) == EjectionCheck::kBelowFloor));
  ledger = ExpireEjections(ledger, {1});
  BOOST_TEST((test(ledger, 2) == EjectionCheck::kBelowFloor));
  BOOST_TEST((test(ledger, 0) == EjectionCheck::kAllowed));
  BOOST_TEST((test(ledger, 1) == EjectionCheck::kAlreadyEjected));
  const Ledger again =
      AddEjection(ledger, MakeUpstreamId(0), 1, std::chrono::seconds(10));
  BOOST_TEST(CountedSlots(again) == 2U);
  ledger = ReleaseRemovedEntries(ledger, {1});
  BOOST_TEST((test(ledger, 2) == EjectionCheck::kAllowed));
}

// Guards against ejecting an upstream when drains already take all capacity
// above the floor.
BOOST_AUTO_TEST_CASE(DrainsLimitEjections) {
  const LedgerCapacity capacity{4, 2, 0.5};
  BOOST_TEST((CheckEjection(Ledger{}, capacity, MakeUpstreamId(0), 1) ==
              EjectionCheck::kBelowFloor));
}

// Guards against a fault that does not lead to an ejection although the
// observers agree, and against a write without the version that the store
// compares.
BOOST_AUTO_TEST_CASE(AgreeingDataCentresEject) {
  TestDaemon daemon = MakeCoordinator();
  SendReports(daemon, 1, {0, 1});
  const Action* write = FindAction(daemon.actions, ActionKind::kWriteLedger);
  BOOST_REQUIRE(write != nullptr);
  BOOST_TEST(write->ledger.version == 0U);
  BOOST_TEST(write->inputs.data_centres >= 2U);
  BOOST_REQUIRE_EQUAL(write->ledger.ejected.size(), 1U);
  Ledger stored = write->ledger;
  stored.version = 1;
  daemon.DeliverEvent(LedgerWriteFinished{true, stored});
  BOOST_TEST(!daemon.IsRoutable(1));
  BOOST_TEST(daemon.CountActions(ActionKind::kSendLedger) == 1U);
}

// Guards against an ejection because of a fault in the network path: one data
// centre that cannot reach an upstream, and two data centres that cannot reach
// the upstreams of a third one.
BOOST_AUTO_TEST_CASE(OneLocationDoesNotEject) {
  TestDaemon daemon = MakeCoordinator();
  SendReports(daemon, 1, {0});
  SendReports(daemon, 2, {0, 1});
  BOOST_TEST(daemon.CountActions(ActionKind::kWriteLedger) == 0U);
  BOOST_TEST(
      daemon.HasAction(ActionKind::kDeclineEjection, Reason::kOneLocation, 2));
}

// Guards against a small fleet that never ejects because no data centre has two
// daemons that could agree: two data centres with one avoiding daemon each must
// suffice.
BOOST_AUTO_TEST_CASE(SmallFleetEjects) {
  TestDaemon daemon(MakeService(9, 3, 0.5), MakeMember(0, 3));
  Ledger empty;
  empty.service = daemon.health.service;
  const std::vector<GroupMember> members = MakeMembers(3, 3);
  const base::DaemonId id = SelectCoordinator(empty.service, members);
  for (const GroupMember& member : members) {
    if (member.daemon == id)
      daemon = TestDaemon(MakeService(9, 3, 0.5), member);
  }
  daemon.DeliverEvent(GroupChanged{members});
  daemon.WarmUp();
  daemon.DeliverEvent(LedgerReceived{empty, true});
  for (const GroupMember& member : {members[1], members[2]}) {
    HealthReport report;
    report.service = empty.service;
    report.observer = member.daemon;
    report.data_centre = member.data_centre;
    report.items = {{MakeUpstreamId(1), 1, 0, true}};
    daemon.DeliverEvent(ReportReceived{report});
  }
  daemon.AdvanceTime(kTickInterval);
  BOOST_TEST(daemon.CountActions(ActionKind::kWriteLedger) == 1U);
}

// Guards against ejecting one upstream after the other during an overload that
// all observers detect.
BOOST_AUTO_TEST_CASE(ServiceWideEvidenceDoesNotEject) {
  TestDaemon daemon = MakeCoordinator();
  for (int round = 0; round < 30; ++round) {
    for (std::uint32_t i = 0; i < 9; ++i) {
      for (std::uint32_t data_centre = 0; data_centre < 3; ++data_centre) {
        HealthReport report;
        report.service = daemon.health.service;
        report.observer = MakeMember(data_centre, 3).daemon;
        report.data_centre = MakeMember(data_centre, 3).data_centre;
        report.request_rate = 20;
        report.items = {{MakeUpstreamId(i), 1, 1, false}};
        daemon.DeliverEvent(ReportReceived{report});
      }
    }
    daemon.AdvanceTime(kTickInterval);
  }
  BOOST_TEST(daemon.CountActions(ActionKind::kWriteLedger) == 0U);
}

// Guards against an ejection that stays in force after its coordinator or the
// store has failed: it must end 15 s after the last confirmation.
BOOST_AUTO_TEST_CASE(UnconfirmedEjectionEnds) {
  TestDaemon daemon(MakeService(4, 1, 0.5), MakeMember(9, 3));
  daemon.DeliverEvent(LedgerReceived{MakeLedger(3, 1), false});
  BOOST_TEST(!daemon.IsRoutable(1));
  daemon.AdvanceTime(std::chrono::seconds(10));
  daemon.DeliverEvent(LedgerReceived{MakeLedger(3, 1), false});
  daemon.AdvanceTime(std::chrono::seconds(14));
  BOOST_TEST(!daemon.IsRoutable(1));
  daemon.AdvanceTime(std::chrono::seconds(2));
  BOOST_TEST(
      daemon.HasAction(ActionKind::kStartTrial, Reason::kLedgerUnconfirmed, 1));
  BOOST_TEST(daemon.IsRoutable(1));
}

// Guards against an old ledger that arrives late and restores an ejection.
BOOST_AUTO_TEST_CASE(StaleLedgerIsIgnored) {
  TestDaemon daemon(MakeService(4, 1, 0.5), MakeMember(9, 3));
  Ledger newer;
  newer.service = {"booking"};
  newer.version = 5;
  daemon.DeliverEvent(LedgerReceived{newer, false});
  daemon.DeliverEvent(LedgerReceived{MakeLedger(4, 1), false});
  BOOST_TEST(daemon.IsRoutable(1));
  Ledger foreign = MakeLedger(9, 1);
  foreign.service = {"other"};
  daemon.DeliverEvent(LedgerReceived{foreign, false});
  BOOST_TEST(daemon.IsRoutable(1));
}

// Guards against treating a ledger message that waited during a pause of this
// daemon as a fresh confirmation.
BOOST_AUTO_TEST_CASE(LedgerDelayedByPauseIsIgnored) {
  TestDaemon daemon(MakeService(4, 1, 0.5), MakeMember(9, 3));
  daemon.now += std::chrono::minutes(1);
  daemon.DeliverEvent(Tick{std::chrono::minutes(1)});
  daemon.DeliverEvent(LedgerReceived{MakeLedger(1, 1), false});
  BOOST_TEST(daemon.IsRoutable(1));
}

// Guards against a coordinator that continues to write after a lost reply or a
// conflict without knowing which ledger is stored.
BOOST_AUTO_TEST_CASE(LedgerIsReadAfterFailedWrite) {
  TestDaemon daemon = MakeCoordinator();
  SendReports(daemon, 1, {0, 1});
  BOOST_REQUIRE_EQUAL(daemon.CountActions(ActionKind::kWriteLedger), 1U);
  daemon.actions.clear();
  daemon.DeliverEvent(LedgerWriteFinished{false, {}});
  BOOST_TEST(daemon.CountActions(ActionKind::kReadLedger) == 1U);
  SendReports(daemon, 1, {0, 1});
  BOOST_TEST(daemon.CountActions(ActionKind::kWriteLedger) == 0U);
  daemon.DeliverEvent(LedgerReceived{MakeLedger(7, 1), true});
  BOOST_TEST(!daemon.IsRoutable(1));
  daemon.AdvanceTime(std::chrono::seconds(2));
  BOOST_TEST(daemon.CountActions(ActionKind::kWriteLedger) == 0U);
}

// Guards against reads and writes that block each other forever when the store
// never responds.
BOOST_AUTO_TEST_CASE(LedgerReadIsRetriedWithoutResponse) {
  TestDaemon daemon = MakeCoordinator();
  SendReports(daemon, 1, {0, 1});
  daemon.actions.clear();
  daemon.AdvanceTime(std::chrono::seconds(12));
  BOOST_TEST(daemon.CountActions(ActionKind::kReadLedger) >= 2U);
}

// Guards against ledger entries that no coordinator ever removes.
BOOST_AUTO_TEST_CASE(CoordinatorExpiresAndReleasesEntries) {
  TestDaemon daemon = MakeCoordinator();
  Ledger stored = MakeLedger(1, 1);
  stored.ejected[0].hold_down = std::chrono::seconds(10);
  daemon.DeliverEvent(LedgerReceived{stored, true});
  for (int second = 0; second < 40; ++second) {
    daemon.actions.clear();
    daemon.AdvanceTime(std::chrono::seconds(1));
    if (const Action* write =
            FindAction(daemon.actions, ActionKind::kWriteLedger)) {
      const std::uint64_t version = stored.version + 1;
      stored = write->ledger;
      stored.version = version;
      daemon.DeliverEvent(LedgerWriteFinished{true, stored});
    }
    if (FindAction(daemon.actions, ActionKind::kReadLedger) != nullptr)
      daemon.DeliverEvent(LedgerReceived{stored, true});
    if (second == 15)
      BOOST_TEST(stored.removed.size() == 1U);
  }
  BOOST_TEST(stored.ejected.empty());
  BOOST_TEST(stored.removed.empty());
}

// Guards against encodings that lose a field, and against accepting malformed
// messages.
BOOST_AUTO_TEST_CASE(EncodedMessagesKeepTheirFields) {
  Ledger ledger = MakeLedger(12, 3);
  ledger = ExpireEjections(ledger, {1});
  BOOST_TEST((DecodeLedger(EncodeLedger(ledger)).value() == ledger));
  BOOST_TEST(
      (DecodeStoredLedger(EncodeStoredLedger(ledger), 12).value() == ledger));
  HealthReport report;
  report.service = {"booking"};
  report.observer = {"10.0.0.1:7000"};
  report.request_rate = 12.5;
  report.items = {{MakeUpstreamId(3), 1, 2, true}};
  report.losses = {{42, MakeUpstreamId(1)}};
  const HealthReport back = DecodeReport(EncodeReport(report)).value();
  BOOST_TEST(back.items[0].slow == 2U);
  BOOST_TEST(back.items[0].avoiding);
  BOOST_TEST(back.losses[0].fingerprint == 42U);
  BOOST_TEST(!DecodeReport("\xff\xff").has_value());
  BOOST_TEST(!DecodeLedger("").has_value());
  BOOST_TEST(!DecodeCrashAnnouncement("").has_value());
  BOOST_TEST((DecodeCrashAnnouncement(EncodeCrashAnnouncement({{"booking"}, 8}))
                  .value()
                  .fingerprint == 8U));
  BOOST_TEST(ToName(Reason::kObserversAgree) == "observers_agree");
}

}  // namespace poplarfork::health
