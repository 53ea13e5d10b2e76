#include <boost/test/unit_test.hpp>
#include <string>

#include "release/publish_name_func.h"
#include "simulated_fleet.h"

namespace poplarfork::release {

namespace {

constexpr std::uint64_t kSeed = 7;

SimulatedFleet MakeReadyFleet(std::size_t nodes) {
  SimulatedFleet fleet = MakeFleet(nodes, kSeed);
  StartAllNodes(fleet);
  BOOST_REQUIRE(Settle(fleet, true));
  AdvanceTime(fleet, std::chrono::milliseconds(100));
  return fleet;
}

// Publishes through node 0 and returns the result.
PublishResult Publish(SimulatedFleet& fleet,
                      const PublishRequest& request,
                      bool is_store_up = true) {
  DeliverEvent(fleet, 0, request);
  BOOST_REQUIRE(RunSteps(fleet, 30, is_store_up));
  const PublishResult* result = FindResult(fleet, request.id.value);
  BOOST_REQUIRE(result != nullptr);
  return *result;
}

void CheckResult(const PublishResult& result,
                 PublishOutcome outcome,
                 const std::string& reason) {
  BOOST_TEST(OutcomeName(result.outcome) == OutcomeName(outcome));
  BOOST_TEST(result.reason == reason, result.reason << " " << result.detail);
}

// Ends the first create in flight without a reply. The store executes it before
// that if `executed` is set.
void DropCreateReply(SimulatedFleet& fleet, bool executed) {
  for (std::size_t i = 0; i < fleet.calls.size(); ++i) {
    const CallInFlight in_flight = fleet.calls[i];
    if (in_flight.call.kind != StoreCallKind::kCreate)
      continue;
    if (executed)
      ExecuteCall(fleet.store, in_flight.call);
    EndCall(fleet, i, false);
    return;
  }
  BOOST_FAIL("no create is in flight");
}

// Answers all reads, so that the first create is sent.
void AnswerPendingReads(SimulatedFleet& fleet) {
  for (std::size_t i = 0; i < fleet.calls.size();) {
    if (fleet.calls[i].call.kind == StoreCallKind::kReadRange)
      EndCall(fleet, i, true);
    else
      ++i;
  }
}

}  // namespace

// Guards against reporting an installed note as rejected when it is published
// again while the store does not reply.
BOOST_AUTO_TEST_CASE(InstalledNoteIsAcceptedWhileTheStoreIsDown) {
  SimulatedFleet fleet = MakeReadyFleet(1);
  CheckResult(Publish(fleet, MakeAccountNote(1, "n1", "x")),
              PublishOutcome::kAccepted, "");
  CheckResult(Publish(fleet, MakeAccountNote(2, "n1", "x"), false),
              PublishOutcome::kAccepted, "already_published");
}

// Guards against accepting a note that only the publishing daemon and the store
// hold. A store outage and the failure of that daemon would then make it
// unavailable.
BOOST_AUTO_TEST_CASE(AcceptedOnceTwoPeersAcknowledgeTheEntry) {
  SimulatedFleet fleet = MakeReadyFleet(4);
  DeliverEvent(fleet, 0, MakeAccountNote(1, "n1", "x"));
  AnswerPendingReads(fleet);
  for (std::size_t i = 0; i < fleet.calls.size(); ++i) {
    if (fleet.calls[i].call.kind == StoreCallKind::kCreate)
      EndCall(fleet, i, true);
  }
  BOOST_TEST(CountInLog(fleet.store, "n1") == 1U);
  BOOST_TEST(FindResult(fleet, 1) == nullptr);
  std::size_t acks = 0;
  while (FindResult(fleet, 1) == nullptr && !fleet.messages.empty()) {
    const MessageInFlight& next = fleet.messages.front();
    acks += next.message.kind == proto::LOG_ENTRY_ACK ? 1U : 0U;
    DeliverMessage(fleet, 0);
  }
  BOOST_REQUIRE(FindResult(fleet, 1) != nullptr);
  BOOST_TEST(acks == 2U);
  BOOST_TEST(FindResult(fleet, 1)->revision.value == 1U);
}

// Guards against a publication that never ends because no peer can be reached.
BOOST_AUTO_TEST_CASE(AcceptedWithoutPeersAfterTheTimeout) {
  SimulatedFleet fleet = MakeReadyFleet(4);
  DeliverEvent(fleet, 0, MakeAccountNote(1, "n1", "x"));
  for (int step = 0; step < 10; ++step) {
    fleet.messages.clear();
    for (std::size_t i = 0; i < fleet.calls.size();) {
      if (IsAnswerable(fleet, fleet.calls[i]) && fleet.calls[i].node == 0)
        EndCall(fleet, i, true);
      else
        ++i;
    }
    AdvanceTime(fleet, std::chrono::milliseconds(300));
  }
  BOOST_REQUIRE(FindResult(fleet, 1) != nullptr);
  CheckResult(*FindResult(fleet, 1), PublishOutcome::kAccepted, "");
}

// Guards against the outcome "unknown" for a note of which nothing was written.
BOOST_AUTO_TEST_CASE(RejectedWhenTheStoreIsDownBeforeTheFirstWrite) {
  SimulatedFleet fleet = MakeReadyFleet(3);
  const PublishResult result =
      Publish(fleet, MakeAccountNote(1, "n1", "x"), false);
  CheckResult(result, PublishOutcome::kRejected, "store_unavailable");
}

// Guards against the outcomes "rejected" and "accepted" for a write whose reply
// was lost, and against a second log entry when the operator publishes the note
// again.
BOOST_AUTO_TEST_CASE(UnknownAfterALostReplyAndSafeToRepeat) {
  for (const bool executed : {true, false}) {
    SimulatedFleet fleet = MakeReadyFleet(3);
    DeliverEvent(fleet, 0, MakeAccountNote(1, "n1", "x"));
    AnswerPendingReads(fleet);
    DropCreateReply(fleet, executed);
    BOOST_REQUIRE(RunSteps(fleet, 30, false));
    BOOST_REQUIRE(FindResult(fleet, 1) != nullptr);
    CheckResult(*FindResult(fleet, 1), PublishOutcome::kUnknown,
                "store_unavailable");
    const PublishResult repeated =
        Publish(fleet, MakeAccountNote(2, "n1", "x"));
    BOOST_TEST(OutcomeName(repeated.outcome) == "accepted");
    BOOST_TEST(CountInLog(fleet.store, "n1") == 1U);
  }
}

// Guards against two different notes that are accepted under the same id.
BOOST_AUTO_TEST_CASE(NoteIdBelongsToOneNote) {
  SimulatedFleet fleet = MakeReadyFleet(3);
  Publish(fleet, MakeAccountNote(1, "n1", "x"));
  CheckResult(Publish(fleet, MakeAccountNote(2, "n1", "x")),
              PublishOutcome::kAccepted, "already_published");
  CheckResult(Publish(fleet, MakeAccountNote(3, "n1", "y")),
              PublishOutcome::kRejected, "note_id_used");
}

// Guards against notes that are written to the log although they cannot be
// installed, and against rejections without a reason.
BOOST_AUTO_TEST_CASE(InvalidNotesAreRejectedWithAReason) {
  SimulatedFleet fleet = MakeReadyFleet(3);
  Publish(fleet, MakeAccountNote(1, "n1", "x"));
  Publish(fleet, MakeAccountNote(2, "n2", "y"));
  CheckResult(Publish(fleet, MakeAccountNote(3, "n3", "x")),
              PublishOutcome::kRejected, "conflict");
  CheckResult(Publish(fleet, {{4}, {"n4"}, "add: [", 0}),
              PublishOutcome::kRejected, "invalid_note");
  CheckResult(Publish(fleet, {{5}, {""}, "add: {}", 0}),
              PublishOutcome::kRejected, "note_id_missing");
  CheckResult(Publish(fleet, {{6}, {"n6"}, "id: other\nadd: {}", 0}),
              PublishOutcome::kRejected, "note_id_mismatch");
  CheckResult(Publish(fleet, {{7}, {"n7"}, "add: {services: [{name: s}]}", 0}),
              PublishOutcome::kRejected, "below_floor");
  CheckResult(Publish(fleet, {{8},
                              {"n8"},
                              "base_revision: 1\nchange: {accounts: [{name: "
                              "y, rate: 1, burst: 1}]}",
                              0}),
              PublishOutcome::kRejected, "conflict");
  CheckResult(Publish(fleet, {{9},
                              {"n9"},
                              "base_revision: 1\nchange: {accounts: [{name: "
                              "x, rate: 1, burst: 1}]}",
                              0}),
              PublishOutcome::kAccepted, "");
  CheckResult(Publish(fleet, {{10}, {"n10"}, "base_revision: 9\nadd: {}", 0}),
              PublishOutcome::kRejected, "base_revision_unknown");
  BOOST_TEST(ReadLog(fleet.store).size() == 3U);
}

// Guards against a daemon that checks and publishes a note against an outdated
// configuration.
BOOST_AUTO_TEST_CASE(DaemonThatIsNotReadyRejects) {
  SimulatedFleet fleet = MakeFleet(2, kSeed);
  StartAllNodes(fleet);
  DeliverEvent(fleet, 0, MakeAccountNote(1, "n1", "x"));
  BOOST_REQUIRE(FindResult(fleet, 1) != nullptr);
  CheckResult(*FindResult(fleet, 1), PublishOutcome::kRejected, "not_ready");
}

// Guards against a fork that a daemon writes after a pause in which the log was
// compacted beyond the revision that it has installed.
BOOST_AUTO_TEST_CASE(CreateFailsIfTheLogWasCompactedBeyondTheDaemon) {
  SimulatedFleet fleet = MakeReadyFleet(3);
  Publish(fleet, MakeAccountNote(1, "n1", "a"));
  DeliverEvent(fleet, 0, MakeAccountNote(2, "n2", "b"));
  AnswerPendingReads(fleet);
  // While the create for revision 2 is delayed, other daemons publish up to
  // revision 4, and revisions 1 to 3 are deleted.
  FakeStore& store = fleet.store;
  store[EntryKey({4})] = store[EntryKey({1})];
  store.erase(EntryKey({1}));
  for (std::size_t i = 0; i < fleet.calls.size(); ++i) {
    if (fleet.calls[i].call.kind == StoreCallKind::kCreate)
      EndCall(fleet, i, true);
  }
  BOOST_TEST(!store.contains(EntryKey({2})));
}

// Guards against an excessive number of store calls during an hour of store
// outage.
BOOST_AUTO_TEST_CASE(StoreCallsAreBoundedDuringAnOutage) {
  SimulatedFleet fleet = MakeReadyFleet(3);
  const std::uint64_t before = fleet.nodes[0].state.store_calls.sent_count;
  BOOST_REQUIRE(RunSteps(fleet, 12000, false));
  const std::uint64_t sent =
      fleet.nodes[0].state.store_calls.sent_count - before;
  BOOST_TEST_MESSAGE("store calls of one daemon in 1 h of outage: " << sent);
  // The longest delay between calls is 10 s, and 5 s with the smallest random
  // factor.
  BOOST_TEST(sent > 300U);
  BOOST_TEST(sent < 800U);
}

}  // namespace poplarfork::release
