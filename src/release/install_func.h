#pragma once

#include "log_entry.pb.h"
#include "release/install_type.h"
#include "release/settings_type.h"

namespace poplarfork::release {

// Returns the state of a daemon that has installed no revision.
InstallState EmptyInstallState();

// Installs `entry` if its revision is the next one and its predecessor hash is
// that of the installed revision. The installed revision never decreases.
InstallOutcome InstallEntry(InstallState& state,
                            const proto::LogEntry& entry,
                            const ReleaseSettings& settings);

// Returns the entry of `revision` if it is among the recent entries, or
// nullptr.
const proto::LogEntry* FindRecentEntry(const InstallState& state,
                                       base::Revision revision);

// Returns the revision and text hash under which the note id was published, or
// nullptr if the id is not in the index.
const PublishedNote* FindPublishedNote(const InstallState& state,
                                       const base::NoteId& id);

// Adds a note id to the index and removes the ids that are older than the last
// `retained_note_ids` revisions.
void IndexNoteId(NoteIdIndex& index,
                 const base::NoteId& id,
                 const PublishedNote& published,
                 const ReleaseSettings& settings);

}  // namespace poplarfork::release
