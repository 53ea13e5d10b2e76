#include <boost/test/unit_test.hpp>

#include <string>

#include "fleet/list_batch_func.h"
#include "fleet/store_restore_func.h"
#include "fleet/view_func.h"

namespace poplarfork::fleet {

namespace {

constexpr base::TimePoint kNow{std::chrono::seconds(100)};
// Start of the second era; the revisions of the first one are below it.
constexpr StoreRevision kSecondEra{1000};

// An upstream's entry as a list of a restored store contains it.
UpstreamRecord MakeListed(std::uint64_t revision,
                          std::uint64_t incarnation,
                          std::uint64_t sequence) {
  UpstreamRecord record;
  record.entry.id = {"u"};
  record.entry.service = {"s"};
  record.entry.incarnation = {incarnation};
  record.entry.sequence = sequence;
  record.change_revision = {revision};
  record.restored = true;
  record.learned_at = kNow;
  return record;
}

// An entry that was written in the era of its revision.
UpstreamRecord MakeWritten(std::uint64_t revision,
                           std::uint64_t incarnation,
                           std::uint64_t sequence) {
  UpstreamRecord record = MakeListed(revision, incarnation, sequence);
  record.restored = false;
  return record;
}

UpstreamRecord MakeRemoved(std::uint64_t revision,
                           std::uint64_t incarnation,
                           std::uint64_t sequence) {
  UpstreamRecord record = MakeWritten(revision, incarnation, sequence);
  record.removed = true;
  return record;
}

// View in the second era of a daemon that read the removal of the upstream in
// the first one, with the last entry of start 2 and sequence 50.
View MakeViewWithRemoval() {
  View view;
  MergeUpstream(view, MakeWritten(100, 2, 50));
  MergeUpstream(view, MakeRemoved(120, 2, 50));
  BeginEra(view, kSecondEra);
  return view;
}

// Applies an entry that was read from the store.
void Read(View& view, UpstreamRecord record, bool is_listed) {
  if (!ClassifyReadEntry(view, record, is_listed))
    MergeUpstream(view, record);
}

bool IsInUse(const View& view) {
  const auto known = view.upstreams.find({"u"});
  return known != view.upstreams.end() && !known->second.removed;
}

}  // namespace

// Guards against requests to an upstream that has left and that the copy brings
// back, whatever its entry in the copy looks like.
BOOST_AUTO_TEST_CASE(EntriesOfTheCopyDoNotBringUpstreamsBack) {
  const UpstreamRecord copies[] = {
      MakeListed(1090, 2, 45), MakeListed(1090, 2, 50), MakeListed(1090, 1, 80),
      MakeListed(1090, 2, 0), MakeWritten(1090, 2, 50)};
  for (const UpstreamRecord& copy : copies) {
    View view = MakeViewWithRemoval();
    BOOST_TEST(!MergeUpstream(view, copy));
    BOOST_TEST(!MergeUpstream(view, copy));
    BOOST_TEST(IsWithheld(view.upstreams.at({"u"})));
    // The store holds the entry, so the removal must not be forgotten.
    ExpireRemovals(view, kNow + 2 * kRemovalLifetime);
    BOOST_TEST(IsWithheld(view.upstreams.at({"u"})));
  }
}

// Guards against an upstream that stays unused although it has written itself
// again.
BOOST_AUTO_TEST_CASE(UpstreamsThatWriteThemselvesAgainAreUsed) {
  const UpstreamRecord writes[] = {
      MakeWritten(1200, 2, 51), MakeWritten(1200, 3, 1),
      MakeListed(1200, 2, 51), MakeListed(1200, 3, 1), MakeWritten(1200, 2, 0)};
  for (const UpstreamRecord& write : writes) {
    View at_once = MakeViewWithRemoval();
    BOOST_TEST(MergeUpstream(at_once, write));
    BOOST_TEST(IsInUse(at_once));
    View later = MakeViewWithRemoval();
    MergeUpstream(later, MakeListed(1090, 2, 45));
    BOOST_TEST(MergeUpstream(later, write));
    BOOST_TEST(IsInUse(later));
  }
  // A start that looks older is one that has written itself again if it does so
  // in the new era.
  View view = MakeViewWithRemoval();
  MergeUpstream(view, MakeListed(1090, 1, 80));
  BOOST_TEST(MergeUpstream(view, MakeWritten(1200, 1, 81)));
}

// Guards against a removal that is judged by a sequence that this daemon knows
// from long ago, because it has not read the store in the meantime.
BOOST_AUTO_TEST_CASE(UnknownSequencesProveNothing) {
  View view;
  MergeUpstream(view, MakeWritten(100, 2, 10));
  ForgetSequences(view);
  MergeUpstream(view, MakeRemoved(120, 2, 0));
  BeginEra(view, kSecondEra);
  MergeUpstream(view, MakeListed(1090, 2, 45));
  BOOST_TEST(!IsInUse(view));
  MergeUpstream(view, MakeWritten(1200, 2, 51));
  BOOST_TEST(IsInUse(view));
}

// Guards against daemons that have read the restored store before they are told
// that an upstream had left.
BOOST_AUTO_TEST_CASE(RemovalsTakeEffectWhenTheyAreToldLate) {
  View uninformed;
  BeginEra(uninformed, kSecondEra);
  MergeUpstream(uninformed, MakeListed(1090, 2, 45));
  BOOST_TEST(IsInUse(uninformed));
  View informed = MakeViewWithRemoval();
  MergeUpstream(informed, uninformed.upstreams.at({"u"}));
  BOOST_TEST(!IsInUse(informed));
  BOOST_TEST(IsUnawareOfRemoval(informed, uninformed.upstreams.at({"u"})));
  for (const UpstreamRecord& record : WithheldRecords(informed))
    BOOST_TEST(MergeUpstream(uninformed, record));
  BOOST_TEST(!IsInUse(uninformed));
  // A reader that has not noticed the new era tells of a removal in the old
  // one.
  View late;
  MergeUpstream(late, MakeWritten(100, 2, 45));
  BeginEra(late, kSecondEra);
  Read(late, MakeListed(1090, 2, 45), true);
  BOOST_TEST(MergeUpstream(late, MakeRemoved(120, 2, 50)));
  BOOST_TEST(!IsInUse(late));
}

// Guards against removals that are older than what is known: an upstream that
// came back in the first era or wrote itself again in the second one.
BOOST_AUTO_TEST_CASE(OlderRemovalsRemoveNothing) {
  View returned;
  MergeUpstream(returned, MakeWritten(130, 2, 60));
  BeginEra(returned, kSecondEra);
  Read(returned, MakeListed(1090, 2, 55), true);
  BOOST_TEST(!MergeUpstream(returned, MakeRemoved(120, 2, 50)));
  View rewritten;
  MergeUpstream(rewritten, MakeWritten(100, 2, 45));
  BeginEra(rewritten, kSecondEra);
  Read(rewritten, MakeListed(1090, 2, 45), true);
  Read(rewritten, MakeWritten(1200, 2, 61), false);
  BOOST_TEST(!MergeUpstream(rewritten, MakeRemoved(120, 2, 50)));
  BOOST_TEST(IsInUse(rewritten));
  // The later write reaches daemons that withhold the upstream.
  View other = MakeViewWithRemoval();
  MergeUpstream(other, MakeListed(1090, 2, 45));
  BOOST_TEST(MergeUpstream(other, rewritten.upstreams.at({"u"})));
  BOOST_TEST(IsInUse(other));
}

// Guards against a daemon that withholds an upstream of which another one knows
// that it had come back before the restore.
BOOST_AUTO_TEST_CASE(ReturnsBeforeTheRestoreAreNotUndone) {
  View uninformed = MakeViewWithRemoval();
  Read(uninformed, MakeListed(1090, 2, 45), true);
  View informed;
  MergeUpstream(informed, MakeWritten(130, 2, 51));
  BeginEra(informed, kSecondEra);
  BOOST_TEST(!MergeUpstream(informed, uninformed.upstreams.at({"u"})));
  Read(informed, MakeListed(1090, 2, 45), true);
  BOOST_TEST(!MergeUpstream(informed, uninformed.upstreams.at({"u"})));
  BOOST_TEST(IsInUse(informed));
}

// Guards against new requests to an upstream that drains and that the copy
// shows as ready, and against an address of an earlier start.
BOOST_AUTO_TEST_CASE(EntriesOfTheCopyDoNotReplaceLaterOnes) {
  View view;
  UpstreamRecord draining = MakeWritten(100, 2, 50);
  draining.entry.phase = UpstreamPhase::kDraining;
  MergeUpstream(view, draining);
  BeginEra(view, kSecondEra);
  BOOST_TEST(!MergeUpstream(view, MakeListed(1090, 2, 45)));
  BOOST_TEST(
      (view.upstreams.at({"u"}).entry.phase == UpstreamPhase::kDraining));
  BOOST_TEST(MergeUpstream(view, MakeWritten(1200, 2, 51)));
  BOOST_TEST((view.upstreams.at({"u"}).entry.phase == UpstreamPhase::kReady));

  View restarted;
  MergeUpstream(restarted, MakeWritten(100, 2, 50));
  BeginEra(restarted, kSecondEra);
  UpstreamRecord former = MakeListed(1090, 1, 45);
  former.entry.address = "10.0.0.9:80";
  BOOST_TEST(!MergeUpstream(restarted, former));
  BOOST_TEST(restarted.upstreams.at({"u"}).entry.address.empty());
}

// Guards against a withheld upstream that a complete list does not name, so
// that the receiver forgets that it is withheld.
BOOST_AUTO_TEST_CASE(ListsNameWithheldUpstreams) {
  View reader = MakeViewWithRemoval();
  MergeUpstream(reader, MakeListed(1090, 2, 45));
  reader.as_of = reader.removals_known_since = {1100};
  ListTransfer transfer;
  const ListBatch batch = NextBatch(reader, {0});
  BOOST_TEST((ApplyBatch(transfer, batch) == BatchResult::kCompleted));
  BOOST_TEST(FindAbsentRecords(reader, transfer.upstreams, {}, {1100}, kNow)
                 .upstreams.empty());
  // When the store holds the entry no longer, it ends like any other.
  const AbsentRecords absent = FindAbsentRecords(reader, {}, {}, {1100}, kNow);
  BOOST_REQUIRE(absent.upstreams.size() == 1U);
  MergeUpstream(reader, absent.upstreams[0]);
  BOOST_TEST(!IsWithheld(reader.upstreams.at({"u"})));
}

// Guards against a removal that this daemon reads late and that takes the place
// of a later write of which it has heard from another daemon.
BOOST_AUTO_TEST_CASE(RemovalsReadLateUndoNothing) {
  const UpstreamRecord written = MakeWritten(130, 2, 60);
  BOOST_TEST(!MakeRemoval(written, {120}, false, kNow));
  const auto removal = MakeRemoval(written, {130}, false, kNow);
  BOOST_REQUIRE(removal);
  BOOST_TEST(removal->change_revision.value == 131U);
  BOOST_TEST(removal->entry.sequence == 60U);
  // A second removal at the same revision would hide a write right after it.
  BOOST_TEST(!MakeRemoval(MakeRemoved(130, 2, 60), {130}, false, kNow));
  // Lists and entries of the copy do not show the last entry.
  BOOST_TEST(MakeRemoval(written, {140}, true, kNow)->entry.sequence == 0U);
  BOOST_TEST(
      MakeRemoval(MakeListed(130, 2, 60), {140}, false, kNow)->entry.sequence ==
      0U);
}

// Guards against stores without eras whose removals are treated differently.
BOOST_AUTO_TEST_CASE(WithoutErasLaterRevisionsDecide) {
  View view;
  MergeUpstream(view, MakeWritten(100, 2, 50));
  MergeUpstream(view, MakeRemoved(120, 2, 50));
  BOOST_TEST(!MergeUpstream(view, MakeWritten(110, 2, 50)));
  BOOST_TEST(MergeUpstream(view, MakeWritten(130, 2, 50)));
  BOOST_TEST(IsInUse(view));
  BOOST_TEST(!BeginEra(view, {0}));
}

}  // namespace poplarfork::fleet
