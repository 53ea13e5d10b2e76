#pragma once

#include "note/release_note_type.h"
#include "release/install_type.h"
#include "release/publication_type.h"
#include "release/publish_rejection_type.h"
#include "release/release_type.h"

namespace poplarfork::release {

// Parses the request's note into `publication`. The possible reasons of a
// rejection are not_ready, busy, invalid_note, note_id_missing and
// note_id_mismatch.
PublishRejection ParsePublishRequest(const ReleaseState& state,
                                     Publication& publication);

// Checks whether the note can be applied to the installed configuration. The
// possible reasons of a rejection are conflict (the note does not apply, or one
// of its items was changed after its base revision), below_floor,
// base_revision_unknown and base_revision_too_old.
PublishRejection CheckNoteApplies(const InstallState& state,
                                  const note::ReleaseNote& note);

}  // namespace poplarfork::release
