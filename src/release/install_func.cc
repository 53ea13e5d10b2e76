#include "release/install_func.h"

#include "base/hash_func.h"
#include "note/apply_note_func.h"
#include "note/chain_hash_func.h"
#include "note/parse_note_func.h"

namespace poplarfork::release {

namespace {

std::uint64_t InstalledRevisionNumber(const InstallState& state) {
  return state.configuration.revision.value;
}

// Returns true if `entry` differs from the entry that is installed under the
// same revision. Entries that are no longer among the recent ones cannot be
// compared and count as equal.
bool DiffersFromInstalled(const InstallState& state,
                          const proto::LogEntry& entry) {
  if (entry.revision() == InstalledRevisionNumber(state))
    return note::ChainHash(entry) != state.configuration.hash;
  const base::Revision revision{entry.revision()};
  const proto::LogEntry* installed = FindRecentEntry(state, revision);
  return installed != nullptr &&
         note::ChainHash(*installed) != note::ChainHash(entry);
}

// Applies the entry's note to the configuration. Returns false if the note's
// id was used before, or if the note cannot be parsed or applied.
bool ApplyEntry(InstallState& state, const proto::LogEntry& entry) {
  if (FindPublishedNote(state, base::NoteId{entry.note_id()}) != nullptr)
    return false;
  const auto note = note::ParseReleaseNote(entry.note_yaml(), entry.note_id());
  if (!note.has_value())
    return false;
  return note::ApplyNote(state.configuration, note.value(),
                         note::ApplyMode::kApply)
      .has_value();
}

// Adds the entry to the recent entries and drops the oldest ones beyond the
// limits on their number and size.
void AppendRecentEntry(InstallState& state,
                       const proto::LogEntry& entry,
                       const ReleaseSettings& settings) {
  state.recent_entries.push_back(entry);
  state.recent_bytes += entry.ByteSizeLong();
  while (state.recent_entries.size() > settings.max_recent_entries ||
         state.recent_bytes > settings.max_recent_bytes) {
    state.recent_bytes -= state.recent_entries.front().ByteSizeLong();
    state.recent_entries.pop_front();
  }
}

}  // namespace

InstallState EmptyInstallState() {
  InstallState state;
  state.configuration.hash = note::kEmptyLogHash;
  return state;
}

InstallOutcome InstallEntry(InstallState& state,
                            const proto::LogEntry& entry,
                            const ReleaseSettings& settings) {
  if (entry.revision() <= InstalledRevisionNumber(state)) {
    return DiffersFromInstalled(state, entry)
               ? InstallOutcome::kFork
               : InstallOutcome::kAlreadyInstalled;
  }
  if (entry.revision() > InstalledRevisionNumber(state) + 1)
    return InstallOutcome::kGap;
  if (entry.predecessor_hash() != state.configuration.hash)
    return InstallOutcome::kFork;

  const bool has_effect = ApplyEntry(state, entry);
  state.configuration.revision.value = entry.revision();
  state.configuration.hash = note::ChainHash(entry);
  if (has_effect) {
    IndexNoteId(
        state.note_ids, base::NoteId{entry.note_id()},
        PublishedNote{{entry.revision()}, base::StableHash(entry.note_yaml())},
        settings);
  }
  AppendRecentEntry(state, entry, settings);
  return has_effect ? InstallOutcome::kInstalled
                    : InstallOutcome::kInstalledWithoutEffect;
}

const proto::LogEntry* FindRecentEntry(const InstallState& state,
                                       base::Revision revision) {
  if (state.recent_entries.empty())
    return nullptr;
  const std::uint64_t first = state.recent_entries.front().revision();
  if (revision.value < first ||
      revision.value >= first + state.recent_entries.size())
    return nullptr;
  return &state.recent_entries[revision.value - first];
}

const PublishedNote* FindPublishedNote(const InstallState& state,
                                       const base::NoteId& id) {
  const auto found = state.note_ids.by_id.find(id);
  return found == state.note_ids.by_id.end() ? nullptr : &found->second;
}

void IndexNoteId(NoteIdIndex& index,
                 const base::NoteId& id,
                 const PublishedNote& published,
                 const ReleaseSettings& settings) {
  index.by_id[id] = published;
  index.by_revision[published.revision] = id;
  const std::uint64_t newest = published.revision.value;
  while (!index.by_revision.empty() &&
         index.by_revision.begin()->first.value + settings.retained_note_ids <=
             newest) {
    index.by_id.erase(index.by_revision.begin()->second);
    index.by_revision.erase(index.by_revision.begin());
  }
}

}  // namespace poplarfork::release
