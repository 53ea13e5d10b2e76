#include <boost/test/unit_test.hpp>
#include <string>

#include "release.pb.h"
#include "release/install_func.h"
#include "release/member_func.h"
#include "release/snapshot_func.h"
#include "world.h"

namespace poplarfork::release {

namespace {

constexpr std::uint64_t kSeed = 11;

World StartedWith(std::size_t nodes, const ReleaseSettings& settings) {
  World world = MakeWorld(nodes, kSeed);
  world.settings = settings;
  StartAll(world);
  BOOST_REQUIRE(Settle(world, true));
  return world;
}

void PublishMany(World& world, std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t i = first; i <= last; ++i) {
    const std::string name = "n" + std::to_string(i);
    Deliver(world, i % world.nodes.size(), AccountNote(i, name, name));
    BOOST_REQUIRE(Run(world, 2, true));
    BOOST_REQUIRE(FindResult(world, i) != nullptr);
    BOOST_REQUIRE(FindResult(world, i)->outcome == PublishOutcome::kAccepted);
  }
}

ReleaseSettings SmallSettings() {
  ReleaseSettings settings;
  settings.snapshot_interval = 10;
  settings.retained_revisions = 10;
  settings.recent_entries = 4;
  settings.entries_per_read = 3;
  settings.chunk_bytes = 400;
  return settings;
}

proto::LogEntry Entry(const InstallState& state,
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
  const proto::LogEntry first = Entry(state, 1, "a");
  BOOST_TEST((InstallEntry(state, Entry(state, 2, "b"), settings) ==
              InstallOutcome::kGap));
  BOOST_TEST(
      (InstallEntry(state, first, settings) == InstallOutcome::kInstalled));
  BOOST_TEST((InstallEntry(state, first, settings) == InstallOutcome::kKnown));
  proto::LogEntry other = first;
  other.set_note_id("c");
  BOOST_TEST((InstallEntry(state, other, settings) == InstallOutcome::kFork));
  proto::LogEntry next = Entry(state, 2, "b");
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
  InstallEntry(state, Entry(state, 1, "a"), settings);
  BOOST_TEST((InstallEntry(state, Entry(state, 2, "a"), settings) ==
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
    RememberNoteId(index, {std::to_string(i)}, {{i}, 0}, settings);
  BOOST_TEST(index.by_id.size() == 50000U);
  BOOST_TEST(!index.by_id.contains({"1"}));
  BOOST_TEST(index.by_id.contains({"2"}));
}

// Guards against a fleet in which no daemon or every daemon watches the store,
// or in which not exactly one daemon writes snapshots.
BOOST_AUTO_TEST_CASE(TwoWatchersPerDataCentre) {
  const World world = MakeWorld(40, kSeed);
  std::map<std::string, int> watchers;
  int writers = 0;
  for (const Node& node : world.nodes) {
    std::vector<Member> others;
    for (const Node& other : world.nodes) {
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
  World world = StartedWith(5, ReleaseSettings{});
  PublishMany(world, 1, 3);
  // Node 4 is the new daemon. Peers 0 and 2 are in its data centre, and peers 1
  // and 3 are not.
  Start(world, 4);
  world.messages.clear();
  const auto answer_from = [&](std::size_t peer) {
    proto::SnapshotChunk status;
    status.set_revision(InstalledAt(world, peer));
    status.set_ready(true);
    Deliver(world, 4,
            IncomingMessage{world.nodes[peer].member, proto::SNAPSHOT_CHUNK,
                            status.SerializeAsString()});
  };
  for (std::size_t i = 0; i < world.calls.size();) {
    if (world.calls[i].node == 4)
      AnswerCall(world, i, false);
    else
      ++i;
  }
  answer_from(0);
  answer_from(2);
  answer_from(2);
  BOOST_TEST(!world.nodes[4].state.sync.has_target);
  answer_from(1);
  BOOST_TEST(world.nodes[4].state.sync.has_target);
  BOOST_TEST(!world.nodes[4].state.ready);
  BOOST_REQUIRE(Run(world, 10, false));
  BOOST_TEST(world.nodes[4].state.ready);
  BOOST_TEST(InstalledAt(world, 4) == 3U);
}

// Guards against a new daemon that becomes ready on the statuses of peers in
// one data centre only, or of peers that are not ready themselves.
BOOST_AUTO_TEST_CASE(NewDaemonStaysNotReadyWithoutConfiguration) {
  World world = MakeWorld(5, kSeed);
  StartAll(world);
  BOOST_REQUIRE(Run(world, 40, false));
  for (const Node& node : world.nodes)
    BOOST_TEST(!node.state.ready);
  BOOST_REQUIRE(Run(world, 60, true));
  for (const Node& node : world.nodes)
    BOOST_TEST(node.state.ready);
}

// Guards against snapshots that are incomplete, are too large for the store, or
// lack the note ids by which a repeated publication is recognised, and against
// entries that are deleted before the snapshot that replaces them is complete.
BOOST_AUTO_TEST_CASE(NewDaemonStartsFromASnapshotOfACompactedLog) {
  World world = StartedWith(3, SmallSettings());
  PublishMany(world, 1, 34);
  const std::vector<proto::LogEntry> log = Log(world.store);
  BOOST_TEST(log.front().revision() == 21U);
  std::size_t chunks = 0;
  for (const auto& [key, value] : world.store) {
    if (SnapshotRevision(key)) {
      ++chunks;
      BOOST_TEST(value.size() <= 400U);
    }
  }
  BOOST_TEST(chunks > 2U);
  Start(world, 1);
  BOOST_REQUIRE(Run(world, 10, true));
  BOOST_TEST(world.nodes[1].state.ready);
  BOOST_TEST(InstalledAt(world, 1) == 34U);
  const auto& accounts = world.nodes[1].state.install.configuration.accounts;
  BOOST_TEST(accounts.size() == 34U);
  Deliver(world, 1, AccountNote(100, "n1", "n1"));
  BOOST_REQUIRE(Run(world, 4, true));
  BOOST_REQUIRE(FindResult(world, 100) != nullptr);
  BOOST_TEST(FindResult(world, 100)->reason == "already_published");
  BOOST_TEST(world.forks == 0U);
}

// Guards against a daemon that is far behind and cannot be brought up to date
// while the store does not reply.
BOOST_AUTO_TEST_CASE(PeerSnapshotBringsADaemonUpToDate) {
  World world = StartedWith(5, SmallSettings());
  PublishMany(world, 1, 14);
  Start(world, 4);
  BOOST_REQUIRE(Run(world, 40, false));
  BOOST_TEST(world.nodes[4].state.ready);
  BOOST_TEST(InstalledAt(world, 4) == 14U);
  BOOST_TEST(world.nodes[4].state.install.configuration.hash ==
             world.nodes[0].state.install.configuration.hash);
}

// Guards against routing work by an outdated configuration after a pause.
BOOST_AUTO_TEST_CASE(ResumedDaemonPullsBeforeItIsReady) {
  World world = StartedWith(3, ReleaseSettings{});
  PublishMany(world, 1, 2);
  Deliver(world, 2, Resumed{});
  BOOST_TEST(!world.nodes[2].state.ready);
  BOOST_REQUIRE(Run(world, 2, true));
  BOOST_TEST(world.nodes[2].state.ready);
  // A daemon that reaches neither the store nor peers becomes ready again after
  // a bounded time.
  Deliver(world, 2, Resumed{});
  for (int step = 0; step < 30; ++step) {
    world.messages.clear();
    for (std::size_t i = 0; i < world.calls.size();) {
      if (world.calls[i].node == 2)
        AnswerCall(world, i, false);
      else
        ++i;
    }
    Advance(world, std::chrono::milliseconds(300));
  }
  BOOST_TEST(world.nodes[2].state.ready);
}

// Guards against payloads of a faulty peer that crash the daemon or corrupt its
// state.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreCounted) {
  World world = StartedWith(3, ReleaseSettings{});
  for (int kind = proto::LOG_ENTRY; kind <= proto::LOG_ENTRY_ACK; ++kind) {
    Deliver(world, 0,
            IncomingMessage{world.nodes[1].member,
                            static_cast<proto::MessageKind>(kind), "\xff"});
  }
  BOOST_TEST(world.nodes[0].state.counters.malformed_messages == 8U);
  Deliver(world, 0, PeerRevision{world.nodes[1].member.id, {1000000}});
  BOOST_REQUIRE(Run(world, 60, true));
  BOOST_TEST(!world.nodes[0].state.pull.active);
  BOOST_TEST(InstalledAt(world, 0) == 0U);
}

}  // namespace poplarfork::release
