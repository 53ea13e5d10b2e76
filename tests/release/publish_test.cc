#include <boost/test/unit_test.hpp>
#include <string>

#include "release/publish_name_func.h"
#include "world.h"

namespace poplarfork::release {

namespace {

constexpr std::uint64_t kSeed = 7;

World StartedWorld(std::size_t nodes) {
  World world = MakeWorld(nodes, kSeed);
  StartAll(world);
  BOOST_REQUIRE(Settle(world, true));
  Advance(world, std::chrono::milliseconds(100));
  return world;
}

// Publishes through node 0 and returns the result.
PublishResult Publish(World& world,
                      const PublishRequest& request,
                      bool store_up = true) {
  Deliver(world, 0, request);
  BOOST_REQUIRE(Run(world, 30, store_up));
  const PublishResult* result = FindResult(world, request.id.value);
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
void AnswerCreate(World& world, bool executed) {
  for (std::size_t i = 0; i < world.calls.size(); ++i) {
    const CallInFlight flight = world.calls[i];
    if (flight.call.kind != StoreCallKind::kCreate)
      continue;
    if (executed)
      Execute(world.store, flight.call);
    AnswerCall(world, i, false);
    return;
  }
  BOOST_FAIL("no create is in flight");
}

// Answers all reads, so that the first create is sent.
void RunToCreate(World& world) {
  for (std::size_t i = 0; i < world.calls.size();) {
    if (world.calls[i].call.kind == StoreCallKind::kReadRange)
      AnswerCall(world, i, true);
    else
      ++i;
  }
}

}  // namespace

// Guards against reporting an installed note as rejected when it is published
// again while the store does not reply.
BOOST_AUTO_TEST_CASE(InstalledNoteIsAcceptedWhileTheStoreIsDown) {
  World world = StartedWorld(1);
  CheckResult(Publish(world, AccountNote(1, "n1", "x")),
              PublishOutcome::kAccepted, "");
  CheckResult(Publish(world, AccountNote(2, "n1", "x"), false),
              PublishOutcome::kAccepted, "already_published");
}

// Guards against accepting a note that only the publishing daemon and the store
// hold. A store outage and the failure of that daemon would then make it
// unavailable.
BOOST_AUTO_TEST_CASE(AcceptedOnceTwoPeersAcknowledgeTheEntry) {
  World world = StartedWorld(4);
  Deliver(world, 0, AccountNote(1, "n1", "x"));
  RunToCreate(world);
  for (std::size_t i = 0; i < world.calls.size(); ++i) {
    if (world.calls[i].call.kind == StoreCallKind::kCreate)
      AnswerCall(world, i, true);
  }
  BOOST_TEST(CountInLog(world.store, "n1") == 1U);
  BOOST_TEST(FindResult(world, 1) == nullptr);
  std::size_t acks = 0;
  while (FindResult(world, 1) == nullptr && !world.messages.empty()) {
    const MessageInFlight& next = world.messages.front();
    acks += next.message.kind == proto::LOG_ENTRY_ACK ? 1U : 0U;
    DeliverMessage(world, 0);
  }
  BOOST_REQUIRE(FindResult(world, 1) != nullptr);
  BOOST_TEST(acks == 2U);
  BOOST_TEST(FindResult(world, 1)->revision.value == 1U);
}

// Guards against a publication that never ends because no peer can be reached.
BOOST_AUTO_TEST_CASE(AcceptedWithoutPeersAfterTheTimeout) {
  World world = StartedWorld(4);
  Deliver(world, 0, AccountNote(1, "n1", "x"));
  for (int step = 0; step < 10; ++step) {
    world.messages.clear();
    for (std::size_t i = 0; i < world.calls.size();) {
      if (IsAnswerable(world, world.calls[i]) && world.calls[i].node == 0)
        AnswerCall(world, i, true);
      else
        ++i;
    }
    Advance(world, std::chrono::milliseconds(300));
  }
  BOOST_REQUIRE(FindResult(world, 1) != nullptr);
  CheckResult(*FindResult(world, 1), PublishOutcome::kAccepted, "");
}

// Guards against the outcome "unknown" for a note of which nothing was written.
BOOST_AUTO_TEST_CASE(RejectedWhenTheStoreIsDownBeforeTheFirstWrite) {
  World world = StartedWorld(3);
  const PublishResult result = Publish(world, AccountNote(1, "n1", "x"), false);
  CheckResult(result, PublishOutcome::kRejected, "store_unavailable");
}

// Guards against the outcomes "rejected" and "accepted" for a write whose reply
// was lost, and against a second log entry when the operator publishes the note
// again.
BOOST_AUTO_TEST_CASE(UnknownAfterALostReplyAndSafeToRepeat) {
  for (const bool executed : {true, false}) {
    World world = StartedWorld(3);
    Deliver(world, 0, AccountNote(1, "n1", "x"));
    RunToCreate(world);
    AnswerCreate(world, executed);
    BOOST_REQUIRE(Run(world, 30, false));
    BOOST_REQUIRE(FindResult(world, 1) != nullptr);
    CheckResult(*FindResult(world, 1), PublishOutcome::kUnknown,
                "store_unavailable");
    const PublishResult again = Publish(world, AccountNote(2, "n1", "x"));
    BOOST_TEST(OutcomeName(again.outcome) == "accepted");
    BOOST_TEST(CountInLog(world.store, "n1") == 1U);
  }
}

// Guards against two different notes that are accepted under the same id.
BOOST_AUTO_TEST_CASE(NoteIdBelongsToOneNote) {
  World world = StartedWorld(3);
  Publish(world, AccountNote(1, "n1", "x"));
  CheckResult(Publish(world, AccountNote(2, "n1", "x")),
              PublishOutcome::kAccepted, "already_published");
  CheckResult(Publish(world, AccountNote(3, "n1", "y")),
              PublishOutcome::kRejected, "note_id_used");
}

// Guards against notes that are written to the log although they cannot be
// installed, and against rejections without a reason.
BOOST_AUTO_TEST_CASE(InvalidNotesAreRejectedWithAReason) {
  World world = StartedWorld(3);
  Publish(world, AccountNote(1, "n1", "x"));
  Publish(world, AccountNote(2, "n2", "y"));
  CheckResult(Publish(world, AccountNote(3, "n3", "x")),
              PublishOutcome::kRejected, "conflict");
  CheckResult(Publish(world, {{4}, {"n4"}, "add: [", 0}),
              PublishOutcome::kRejected, "invalid_note");
  CheckResult(Publish(world, {{5}, {""}, "add: {}", 0}),
              PublishOutcome::kRejected, "note_id_missing");
  CheckResult(Publish(world, {{6}, {"n6"}, "id: other\nadd: {}", 0}),
              PublishOutcome::kRejected, "note_id_mismatch");
  CheckResult(Publish(world, {{7}, {"n7"}, "add: {services: [{name: s}]}", 0}),
              PublishOutcome::kRejected, "below_floor");
  CheckResult(Publish(world, {{8},
                              {"n8"},
                              "base_revision: 1\nchange: {accounts: [{name: "
                              "y, rate: 1, burst: 1}]}",
                              0}),
              PublishOutcome::kRejected, "conflict");
  CheckResult(Publish(world, {{9},
                              {"n9"},
                              "base_revision: 1\nchange: {accounts: [{name: "
                              "x, rate: 1, burst: 1}]}",
                              0}),
              PublishOutcome::kAccepted, "");
  CheckResult(Publish(world, {{10}, {"n10"}, "base_revision: 9\nadd: {}", 0}),
              PublishOutcome::kRejected, "base_revision_unknown");
  BOOST_TEST(Log(world.store).size() == 3U);
}

// Guards against a daemon that checks and publishes a note against an outdated
// configuration.
BOOST_AUTO_TEST_CASE(DaemonThatIsNotReadyRejects) {
  World world = MakeWorld(2, kSeed);
  StartAll(world);
  Deliver(world, 0, AccountNote(1, "n1", "x"));
  BOOST_REQUIRE(FindResult(world, 1) != nullptr);
  CheckResult(*FindResult(world, 1), PublishOutcome::kRejected, "not_ready");
}

// Guards against a fork that a daemon writes after a pause in which the log was
// compacted beyond the revision that it has installed.
BOOST_AUTO_TEST_CASE(CreateFailsIfTheLogWasCompactedBeyondTheDaemon) {
  World world = StartedWorld(3);
  Publish(world, AccountNote(1, "n1", "a"));
  Deliver(world, 0, AccountNote(2, "n2", "b"));
  RunToCreate(world);
  // While the create for revision 2 is delayed, other daemons publish up to
  // revision 4, and revisions 1 to 3 are deleted.
  FakeStore& store = world.store;
  store[EntryKey({4})] = store[EntryKey({1})];
  store.erase(EntryKey({1}));
  for (std::size_t i = 0; i < world.calls.size(); ++i) {
    if (world.calls[i].call.kind == StoreCallKind::kCreate)
      AnswerCall(world, i, true);
  }
  BOOST_TEST(!store.contains(EntryKey({2})));
}

// Guards against an excessive number of store calls during an hour of store
// outage.
BOOST_AUTO_TEST_CASE(StoreCallsAreBoundedDuringAnOutage) {
  World world = StartedWorld(3);
  const std::uint64_t before = world.nodes[0].state.traffic.sent;
  BOOST_REQUIRE(Run(world, 12000, false));
  const std::uint64_t sent = world.nodes[0].state.traffic.sent - before;
  BOOST_TEST_MESSAGE("store calls of one daemon in 1 h of outage: " << sent);
  // The longest delay between calls is 10 s, and 5 s with the smallest random
  // factor.
  BOOST_TEST(sent > 300U);
  BOOST_TEST(sent < 800U);
}

}  // namespace poplarfork::release
