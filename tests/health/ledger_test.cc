#include <boost/test/unit_test.hpp>

#include "health/coordinator_func.h"
#include "health/ledger_func.h"
#include "health/message_func.h"
#include "health/name_func.h"
#include "health_helper.h"

namespace poplarfork::health {

namespace {

std::vector<GroupMember> Members(std::uint32_t count,
                                 std::uint32_t data_centres) {
  std::vector<GroupMember> members;
  for (std::uint32_t i = 0; i < count; ++i)
    members.push_back(Member(i, data_centres));
  return members;
}

// Returns the coordinator of a group of 6 daemons, for a service with 9
// upstreams in 3 data centres.
TestDaemon Coordinator() {
  const note::Service service = MakeService(9, 3, 0.5);
  const std::vector<GroupMember> members = Members(6, 3);
  const base::DaemonId id = CoordinatorOf(service.id, members);
  for (const GroupMember& member : members) {
    if (member.daemon != id)
      continue;
    TestDaemon daemon(service, member);
    daemon.Feed(GroupChanged{members});
    daemon.WarmUp();
    Ledger empty;
    empty.service = service.id;
    daemon.Feed(LedgerReceived{empty, true});
    return daemon;
  }
  throw std::logic_error("no coordinator");
}

// Delivers reports of bad requests at an upstream by two daemons of each data
// centre.
void Report(TestDaemon& daemon,
            std::uint32_t upstream,
            const std::vector<std::uint32_t>& data_centres) {
  for (int round = 0; round < 10; ++round) {
    for (const std::uint32_t data_centre : data_centres) {
      HealthReport report;
      report.service = daemon.health.service;
      report.observer = Member(data_centre + round % 2 * 3, 3).daemon;
      report.data_centre = Member(data_centre, 3).data_centre;
      report.request_rate = 20;
      report.items = {{UpstreamName(upstream), 2, 0, false}};
      daemon.Feed(ReportReceived{report});
    }
    daemon.Pass(kTickTime);
  }
}

const Action* Find(const Actions& actions, ActionKind kind) {
  for (const Action& action : actions) {
    if (action.kind == kind)
      return &action;
  }
  return nullptr;
}

Ledger LedgerWith(std::uint64_t version, std::uint32_t upstream) {
  Ledger ledger;
  ledger.service = {"booking"};
  ledger = ApplyEjection(ledger, UpstreamName(upstream), 1,
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
  ledger = ApplyEjection(ledger, UpstreamName(0), 1, std::chrono::seconds(10));
  ledger = ApplyEjection(ledger, UpstreamName(1), 1, std::chrono::seconds(10));
  const auto test = [&capacity](const Ledger& tested, std::uint32_t upstream) {
    return TestEjection(tested, capacity, UpstreamName(upstream), 1);
  };
  BOOST_TEST((test(ledger, 2) == EjectionVerdict::kBelowFloor));
  ledger = ExpireEjections(ledger, {1});
  BOOST_TEST((test(ledger, 2) == EjectionVerdict::kBelowFloor));
  BOOST_TEST((test(ledger, 0) == EjectionVerdict::kAllowed));
  BOOST_TEST((test(ledger, 1) == EjectionVerdict::kAlreadyEjected));
  const Ledger again =
      ApplyEjection(ledger, UpstreamName(0), 1, std::chrono::seconds(10));
  BOOST_TEST(CountedSlots(again) == 2U);
  ledger = ReleaseRemoved(ledger, {1});
  BOOST_TEST((test(ledger, 2) == EjectionVerdict::kAllowed));
}

// Guards against ejecting an upstream when drains already take all capacity
// above the floor.
BOOST_AUTO_TEST_CASE(DrainsLimitEjections) {
  const LedgerCapacity capacity{4, 2, 0.5};
  BOOST_TEST((TestEjection(Ledger{}, capacity, UpstreamName(0), 1) ==
              EjectionVerdict::kBelowFloor));
}

// Guards against a fault that does not lead to an ejection although the
// observers agree, and against a write without the version that the store
// compares.
BOOST_AUTO_TEST_CASE(AgreeingDataCentresEject) {
  TestDaemon daemon = Coordinator();
  Report(daemon, 1, {0, 1});
  const Action* write = Find(daemon.actions, ActionKind::kWriteLedger);
  BOOST_REQUIRE(write != nullptr);
  BOOST_TEST(write->ledger.version == 0U);
  BOOST_TEST(write->inputs.data_centres >= 2U);
  BOOST_REQUIRE_EQUAL(write->ledger.ejected.size(), 1U);
  Ledger stored = write->ledger;
  stored.version = 1;
  daemon.Feed(LedgerWriteFinished{true, stored});
  BOOST_TEST(!daemon.Routes(1));
  BOOST_TEST(daemon.Count(ActionKind::kSendLedger) == 1U);
}

// Guards against an ejection because of a fault in the network path: one data
// centre that cannot reach an upstream, and two data centres that cannot reach
// the upstreams of a third one.
BOOST_AUTO_TEST_CASE(OneLocationDoesNotEject) {
  TestDaemon daemon = Coordinator();
  Report(daemon, 1, {0});
  Report(daemon, 2, {0, 1});
  BOOST_TEST(daemon.Count(ActionKind::kWriteLedger) == 0U);
  BOOST_TEST(daemon.Has(ActionKind::kDeclineEjection, Reason::kOneLocation, 2));
}

// Guards against a small fleet that never ejects because no data centre has two
// daemons that could agree: two data centres with one avoiding daemon each must
// suffice.
BOOST_AUTO_TEST_CASE(SmallFleetEjects) {
  TestDaemon daemon(MakeService(9, 3, 0.5), Member(0, 3));
  Ledger empty;
  empty.service = daemon.health.service;
  const std::vector<GroupMember> members = Members(3, 3);
  const base::DaemonId id = CoordinatorOf(empty.service, members);
  for (const GroupMember& member : members) {
    if (member.daemon == id)
      daemon = TestDaemon(MakeService(9, 3, 0.5), member);
  }
  daemon.Feed(GroupChanged{members});
  daemon.WarmUp();
  daemon.Feed(LedgerReceived{empty, true});
  for (const GroupMember& member : {members[1], members[2]}) {
    HealthReport report;
    report.service = empty.service;
    report.observer = member.daemon;
    report.data_centre = member.data_centre;
    report.items = {{UpstreamName(1), 1, 0, true}};
    daemon.Feed(ReportReceived{report});
  }
  daemon.Pass(kTickTime);
  BOOST_TEST(daemon.Count(ActionKind::kWriteLedger) == 1U);
}

// Guards against ejecting one upstream after the other during an overload that
// all observers detect.
BOOST_AUTO_TEST_CASE(ServiceWideEvidenceDoesNotEject) {
  TestDaemon daemon = Coordinator();
  for (int round = 0; round < 30; ++round) {
    for (std::uint32_t i = 0; i < 9; ++i) {
      for (std::uint32_t data_centre = 0; data_centre < 3; ++data_centre) {
        HealthReport report;
        report.service = daemon.health.service;
        report.observer = Member(data_centre, 3).daemon;
        report.data_centre = Member(data_centre, 3).data_centre;
        report.request_rate = 20;
        report.items = {{UpstreamName(i), 1, 1, false}};
        daemon.Feed(ReportReceived{report});
      }
    }
    daemon.Pass(kTickTime);
  }
  BOOST_TEST(daemon.Count(ActionKind::kWriteLedger) == 0U);
}

// Guards against an ejection that stays in force after its coordinator or the
// store has failed: it must end 15 s after the last confirmation.
BOOST_AUTO_TEST_CASE(UnconfirmedEjectionEnds) {
  TestDaemon daemon(MakeService(4, 1, 0.5), Member(9, 3));
  daemon.Feed(LedgerReceived{LedgerWith(3, 1), false});
  BOOST_TEST(!daemon.Routes(1));
  daemon.Pass(std::chrono::seconds(10));
  daemon.Feed(LedgerReceived{LedgerWith(3, 1), false});
  daemon.Pass(std::chrono::seconds(14));
  BOOST_TEST(!daemon.Routes(1));
  daemon.Pass(std::chrono::seconds(2));
  BOOST_TEST(daemon.Has(ActionKind::kTrickle, Reason::kLedgerUnconfirmed, 1));
  BOOST_TEST(daemon.Routes(1));
}

// Guards against an old ledger that arrives late and restores an ejection.
BOOST_AUTO_TEST_CASE(StaleLedgerIsIgnored) {
  TestDaemon daemon(MakeService(4, 1, 0.5), Member(9, 3));
  Ledger newer;
  newer.service = {"booking"};
  newer.version = 5;
  daemon.Feed(LedgerReceived{newer, false});
  daemon.Feed(LedgerReceived{LedgerWith(4, 1), false});
  BOOST_TEST(daemon.Routes(1));
  Ledger foreign = LedgerWith(9, 1);
  foreign.service = {"other"};
  daemon.Feed(LedgerReceived{foreign, false});
  BOOST_TEST(daemon.Routes(1));
}

// Guards against treating a ledger message that waited during a pause of this
// daemon as a fresh confirmation.
BOOST_AUTO_TEST_CASE(LedgerDelayedByPauseIsIgnored) {
  TestDaemon daemon(MakeService(4, 1, 0.5), Member(9, 3));
  daemon.now += std::chrono::minutes(1);
  daemon.Feed(Tick{std::chrono::minutes(1)});
  daemon.Feed(LedgerReceived{LedgerWith(1, 1), false});
  BOOST_TEST(daemon.Routes(1));
}

// Guards against a coordinator that continues to write after a lost reply or a
// conflict without knowing which ledger is stored.
BOOST_AUTO_TEST_CASE(LedgerIsReadAfterFailedWrite) {
  TestDaemon daemon = Coordinator();
  Report(daemon, 1, {0, 1});
  BOOST_REQUIRE_EQUAL(daemon.Count(ActionKind::kWriteLedger), 1U);
  daemon.actions.clear();
  daemon.Feed(LedgerWriteFinished{false, {}});
  BOOST_TEST(daemon.Count(ActionKind::kReadLedger) == 1U);
  Report(daemon, 1, {0, 1});
  BOOST_TEST(daemon.Count(ActionKind::kWriteLedger) == 0U);
  daemon.Feed(LedgerReceived{LedgerWith(7, 1), true});
  BOOST_TEST(!daemon.Routes(1));
  daemon.Pass(std::chrono::seconds(2));
  BOOST_TEST(daemon.Count(ActionKind::kWriteLedger) == 0U);
}

// Guards against reads and writes that block each other forever when the store
// never responds.
BOOST_AUTO_TEST_CASE(LedgerReadIsRetriedWithoutResponse) {
  TestDaemon daemon = Coordinator();
  Report(daemon, 1, {0, 1});
  daemon.actions.clear();
  daemon.Pass(std::chrono::seconds(12));
  BOOST_TEST(daemon.Count(ActionKind::kReadLedger) >= 2U);
}

// Guards against ledger entries that no coordinator ever removes.
BOOST_AUTO_TEST_CASE(CoordinatorExpiresAndReleasesEntries) {
  TestDaemon daemon = Coordinator();
  Ledger stored = LedgerWith(1, 1);
  stored.ejected[0].hold = std::chrono::seconds(10);
  daemon.Feed(LedgerReceived{stored, true});
  for (int second = 0; second < 40; ++second) {
    daemon.actions.clear();
    daemon.Pass(std::chrono::seconds(1));
    if (const Action* write = Find(daemon.actions, ActionKind::kWriteLedger)) {
      const std::uint64_t version = stored.version + 1;
      stored = write->ledger;
      stored.version = version;
      daemon.Feed(LedgerWriteFinished{true, stored});
    }
    if (Find(daemon.actions, ActionKind::kReadLedger) != nullptr)
      daemon.Feed(LedgerReceived{stored, true});
    if (second == 15)
      BOOST_TEST(stored.removed.size() == 1U);
  }
  BOOST_TEST(stored.ejected.empty());
  BOOST_TEST(stored.removed.empty());
}

// Guards against encodings that lose a field, and against accepting malformed
// messages.
BOOST_AUTO_TEST_CASE(EncodedMessagesKeepTheirFields) {
  Ledger ledger = LedgerWith(12, 3);
  ledger = ExpireEjections(ledger, {1});
  BOOST_TEST((DecodeLedger(EncodeLedger(ledger)).value() == ledger));
  BOOST_TEST((LedgerFromStored(LedgerToStored(ledger), 12).value() == ledger));
  HealthReport report;
  report.service = {"booking"};
  report.observer = {"10.0.0.1:7000"};
  report.request_rate = 12.5;
  report.items = {{UpstreamName(3), 1, 2, true}};
  report.losses = {{42, UpstreamName(1)}};
  const HealthReport back = DecodeReport(EncodeReport(report)).value();
  BOOST_TEST(back.items[0].slow == 2U);
  BOOST_TEST(back.items[0].avoiding);
  BOOST_TEST(back.losses[0].fingerprint == 42U);
  BOOST_TEST(!DecodeReport("\xff\xff").has_value());
  BOOST_TEST(!DecodeLedger("").has_value());
  BOOST_TEST(!DecodeCrash("").has_value());
  BOOST_TEST(
      (DecodeCrash(EncodeCrash({{"booking"}, 8})).value().fingerprint == 8U));
  BOOST_TEST(NameOf(Reason::kObserversAgree) == "observers_agree");
}

}  // namespace poplarfork::health
