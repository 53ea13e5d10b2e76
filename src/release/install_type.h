#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "log_entry.pb.h"
#include "note/configuration_type.h"

namespace poplarfork::release {

// The revision and the text hash under which a note id was published.
struct PublishedNote {
  base::Revision revision;
  // Hash of the note's text. It distinguishes a repeated publication of the
  // same note from another note with the same id.
  std::uint64_t text_hash = 0;
};

// Index of the note ids of the last `ReleaseSettings::retained_note_ids`
// revisions.
struct NoteIdIndex {
  std::unordered_map<base::NoteId, PublishedNote> by_id;
  std::map<base::Revision, base::NoteId> by_revision;
};

// The configuration that a daemon has installed and the data that it needs to
// check, repeat and forward log entries.
struct InstallState {
  note::Configuration configuration;
  NoteIdIndex note_ids;
  // The last installed entries, ordered by revision and without gaps. Peers
  // that miss entries are served from here.
  std::deque<proto::LogEntry> recent_entries;
  // Serialized size of these entries.
  std::uint64_t recent_bytes = 0;
};

enum class InstallOutcome {
  kInstalled,
  // The revision was installed, but the configuration did not change, because
  // the note does not apply to it or the note's id was used before. Publishers
  // never write such an entry. If one is in the log nevertheless, all daemons
  // treat it in this same way, so that they do not diverge.
  kInstalledWithoutEffect,
  // The same entry was installed before.
  kAlreadyInstalled,
  // At least one entry between the installed revision and this one is missing.
  kGap,
  // The entry was refused: it differs from the installed entry of the same
  // revision, or its predecessor hash is not that of the installed revision.
  kFork,
};

}  // namespace poplarfork::release
