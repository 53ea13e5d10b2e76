#include <boost/test/unit_test.hpp>
#include <string>

#include "release.pb.h"
#include "release/install_func.h"
#include "release/member_func.h"
#include "release/snapshot_func.h"
#include "simulated_fleet.h"

namespace poplarfork::release {

namespace {

constexpr std::uint64_t kSeed = 11;

SimulatedFleet MakeReadyFleet(std::size_t nodes,
                              const ReleaseSettings& settings) {
  SimulatedFleet fleet = MakeFleet(nodes, kSeed);
  fleet.settings = settings;
  StartAllNodes(fleet);
  BOOST_REQUIRE(Settle(fleet, true));
  return fleet;
}

void PublishNotes(SimulatedFleet& fleet,
                  std::uint64_t first,
                  std::uint64_t last) {
  for (std::uint64_t i = first; i <= last; ++i) {
    const std::string name = "n" + std::to_string(i);
    DeliverEvent(fleet, i % fleet.nodes.size(), MakeAccountNote(i, name, name));
    BOOST_REQUIRE(RunSteps(fleet, 2, true));
    BOOST_REQUIRE(FindResult(fleet, i) != nullptr);
    BOOST_REQUIRE(FindResult(fleet, i)->outcome == PublishOutcome::kAccepted);
  }
}

ReleaseSettings MakeSmallSettings() {
  ReleaseSettings settings;
  settings.snapshot_interval = 10;
  settings.retained_revisions = 10;
  settings.max_recent_entries = 4;
  settings.max_entries_per_read = 3;
  settings.max_chunk_bytes = 400;
  return settings;
}

proto::LogEntry MakeEntry(const InstallState& state,
                          std::uint64_t revision,
                          const std::string& id) {
  proto::LogEntry entry;
  entry.set_revision(revision);
  entry.set_note_id(id);
  entry.set_predecessor_hash(state.configuration.hash);
  entry.set_note_yaml("add: {accounts: [{name: " + id + "}]}");
  return entry;
}

}  // namespace

// Guards against an installed revision that decreases, and against installing
// entries that do not follow the installed log.
BOOST_AUTO_TEST_CASE(InstallIsMonotonicAndRefusesForks) {
  InstallState state = EmptyInstallState();
  const ReleaseSettings settings;
  const proto::LogEntry first = MakeEntry(state, 1, "a");
  BOOST_TEST((InstallEntry(state, MakeEntry(state, 2, "b"), settings) ==
              InstallOutcome::kGap));
  BOOST_TEST(
      (InstallEntry(state, first, settings) == InstallOutcome::kInstalled));
  BOOST_TEST((InstallEntry(state, first, settings) ==
              InstallOutcome::kAlreadyInstalled));
  proto::LogEntry other = first;
  other.set_note_id("c");
  BOOST_TEST((InstallEntry(state, other, settings) == InstallOutcome::kFork));
  proto::LogEntry next = MakeEntry(state, 2, "b");
  next.set_predecessor_hash("ffffffffffffffff");
  BOOST_TEST((InstallEntry(state, next, settings) == InstallOutcome::kFork));
  BOOST_TEST(state.configuration.revision.value == 1U);
}

// Guards against an entry that cannot be applied and therefore stops all
// daemons from installing later ones, and against applying a note twice if its
// id is in the log twice.
BOOST_AUTO_TEST_CASE(EntryThatDoesNotApplyHasNoEffect) {
  InstallState state = EmptyInstallState();
  const ReleaseSettings settings;
  InstallEntry(state, MakeEntry(state, 1, "a"), settings);
  BOOST_TEST((InstallEntry(state, MakeEntry(state, 2, "a"), settings) ==
              InstallOutcome::kInstalledWithoutEffect));
  BOOST_TEST(state.configuration.revision.value == 2U);
  BOOST_TEST(state.configuration.accounts.size() == 1U);
}

// Guards against note ids that are never removed from the index or are removed
// too early.
BOOST_AUTO_TEST_CASE(NoteIdsAreKeptForTheRetainedRevisions) {
  NoteIdIndex index;
  const ReleaseSettings settings;
  for (std::uint64_t i = 1; i <= 50001; ++i)
    IndexNoteId(index, {std::to_string(i)}, {{i}, 0}, settings);
  BOOST_TEST(index.by_id.size() == 50000U);
  BOOST_TEST(!index.by_id.contains({"1"}));
  BOOST_TEST(index.by_id.contains({"2"}));
}

// Guards against a fleet in which no daemon or every daemon watches the store,
// and against one in which none or several daemons write snapshots.
BOOST_AUTO_TEST_CASE(TwoWatchersPerDataCentre) {
  const SimulatedFleet fleet = MakeFleet(40, kSeed);
  std::map<std::string, int> watchers;
  int writers = 0;
  for (const Node& node : fleet.nodes) {
    std::vector<Member> others;
    for (const Node& other : fleet.nodes) {
      if (other.member.id != node.member.id)
        others.push_back(other.member);
    }
    watchers[node.member.data_centre.value] +=
        IsWatcher(node.member, others, 2) ? 1 : 0;
    writers += IsSnapshotWriter(node.member, others) ? 1 : 0;
  }
  BOOST_TEST(watchers["a"] == 2);
  BOOST_TEST(watchers["b"] == 2);
  BOOST_TEST(writers == 1);
}

// Guards against a new daemon that chooses its target revision from too few
// peers while the store does not reply, and against one that chooses a revision
// lower than the highest that they reported.
BOOST_AUTO_TEST_CASE(NewDaemonSyncsFromEnoughPeersWhenTheStoreIsDown) {
  SimulatedFleet fleet = MakeReadyFleet(5, ReleaseSettings{});
  PublishNotes(fleet, 1, 3);
  // Node 4 is the new daemon. Peers 0 and 2 are in its data centre, and peers 1
  // and 3 are not.
  StartNode(fleet, 4);
  fleet.messages.clear();
  const auto deliver_status_of = [&](std::size_t peer) {
    proto::SnapshotChunk status;
    status.set_revision(InstalledAt(fleet, peer));
    status.set_ready(true);
    DeliverEvent(
        fleet, 4,
        IncomingMessage{fleet.nodes[peer].member, proto::SNAPSHOT_CHUNK,
                        status.SerializeAsString()});
  };
  for (std::size_t i = 0; i < fleet.calls.size();) {
    if (fleet.calls[i].node == 4)
      EndCall(fleet, i, false);
    else
      ++i;
  }
  deliver_status_of(0);
  deliver_status_of(2);
  deliver_status_of(2);
  BOOST_TEST(!fleet.nodes[4].state.sync.has_target);
  deliver_status_of(1);
  BOOST_TEST(fleet.nodes[4].state.sync.has_target);
  BOOST_TEST(!fleet.nodes[4].state.ready);
  BOOST_REQUIRE(RunSteps(fleet, 10, false));
  BOOST_TEST(fleet.nodes[4].state.ready);
  BOOST_TEST(InstalledAt(fleet, 4) == 3U);
}

// Guards against a new daemon that becomes ready on the statuses of peers in
// one data centre only, or of peers that are not ready themselves.
BOOST_AUTO_TEST_CASE(NewDaemonStaysNotReadyWithoutConfiguration) {
  SimulatedFleet fleet = MakeFleet(5, kSeed);
  StartAllNodes(fleet);
  BOOST_REQUIRE(RunSteps(fleet, 40, false));
  for (const Node& node : fleet.nodes)
    BOOST_TEST(!node.state.ready);
  BOOST_REQUIRE(RunSteps(fleet, 60, true));
  for (const Node& node : fleet.nodes)
    BOOST_TEST(node.state.ready);
}

// Guards against snapshots that are incomplete, are too large for the store, or
// lack the note ids by which a repeated publication is recognised, and against
// entries that are deleted before the snapshot that replaces them is complete.
BOOST_AUTO_TEST_CASE(NewDaemonStartsFromASnapshotOfACompactedLog) {
  SimulatedFleet fleet = MakeReadyFleet(3, MakeSmallSettings());
  PublishNotes(fleet, 1, 34);
  const std::vector<proto::LogEntry> log = ReadLog(fleet.store);
  BOOST_TEST(log.front().revision() == 21U);
  std::size_t chunks = 0;
  for (const auto& [key, value] : fleet.store) {
    if (ParseSnapshotRevision(key)) {
      ++chunks;
      BOOST_TEST(value.size() <= 400U);
    }
  }
  BOOST_TEST(chunks > 2U);
  StartNode(fleet, 1);
  BOOST_REQUIRE(RunSteps(fleet, 10, true));
  BOOST_TEST(fleet.nodes[1].state.ready);
  BOOST_TEST(InstalledAt(fleet, 1) == 34U);
  const auto& accounts = fleet.nodes[1].state.install.configuration.accounts;
  BOOST_TEST(accounts.size() == 34U);
  DeliverEvent(fleet, 1, MakeAccountNote(100, "n1", "n1"));
  BOOST_REQUIRE(RunSteps(fleet, 4, true));
  BOOST_REQUIRE(FindResult(fleet, 100) != nullptr);
  BOOST_TEST(FindResult(fleet, 100)->reason == "already_published");
  BOOST_TEST(fleet.forks == 0U);
}

// Guards against a daemon that is far behind and cannot be brought up to date
// while the store does not reply.
BOOST_AUTO_TEST_CASE(PeerSnapshotBringsADaemonUpToDate) {
  SimulatedFleet fleet = MakeReadyFleet(5, MakeSmallSettings());
  PublishNotes(fleet, 1, 14);
  StartNode(fleet, 4);
  BOOST_REQUIRE(RunSteps(fleet, 40, false));
  BOOST_TEST(fleet.nodes[4].state.ready);
  BOOST_TEST(InstalledAt(fleet, 4) == 14U);
  BOOST_TEST(fleet.nodes[4].state.install.configuration.hash ==
             fleet.nodes[0].state.install.configuration.hash);
}

// Guards against routing work by an outdated configuration after a pause.
BOOST_AUTO_TEST_CASE(ResumedDaemonPullsBeforeItIsReady) {
  SimulatedFleet fleet = MakeReadyFleet(3, ReleaseSettings{});
  PublishNotes(fleet, 1, 2);
  DeliverEvent(fleet, 2, Resumed{});
  BOOST_TEST(!fleet.nodes[2].state.ready);
  BOOST_REQUIRE(RunSteps(fleet, 2, true));
  BOOST_TEST(fleet.nodes[2].state.ready);
  // A daemon that reaches neither the store nor peers becomes ready again after
  // a bounded time.
  DeliverEvent(fleet, 2, Resumed{});
  for (int step = 0; step < 30; ++step) {
    fleet.messages.clear();
    for (std::size_t i = 0; i < fleet.calls.size();) {
      if (fleet.calls[i].node == 2)
        EndCall(fleet, i, false);
      else
        ++i;
    }
    AdvanceTime(fleet, std::chrono::milliseconds(300));
  }
  BOOST_TEST(fleet.nodes[2].state.ready);
}

// Guards against payloads of a faulty peer that crash the daemon or corrupt its
// state.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreCounted) {
  SimulatedFleet fleet = MakeReadyFleet(3, ReleaseSettings{});
  for (int kind = proto::LOG_ENTRY; kind <= proto::LOG_ENTRY_ACK; ++kind) {
    DeliverEvent(
        fleet, 0,
        IncomingMessage{fleet.nodes[1].member,
                        static_cast<proto::MessageKind>(kind), "\xff"});
  }
  BOOST_TEST(fleet.nodes[0].state.counters.malformed_messages == 8U);
  DeliverEvent(fleet, 0, PeerRevision{fleet.nodes[1].member.id, {1000000}});
  BOOST_REQUIRE(RunSteps(fleet, 60, true));
  BOOST_TEST(!fleet.nodes[0].state.pull.active);
  BOOST_TEST(InstalledAt(fleet, 0) == 0U);
}

}  // namespace poplarfork::release
