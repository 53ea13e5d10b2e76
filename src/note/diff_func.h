#pragma once

#include <string>

#include "base/result_type.h"
#include "note/configuration_type.h"
#include "note/diff_type.h"
#include "note/release_note_type.h"

namespace poplarfork::note {

// Returns what `note` changes in `configuration`: first services, then
// upstreams, routes and accounts. Within each of these kinds, withdrawn and
// changed items come first and added items after them, each sorted by name. The
// errors are those of ApplyNote.
base::Result<Diff> DiffNote(const Configuration& configuration,
                            const ReleaseNote& note);

// Returns "+ item: after", "- item: before" or "~ item: before -> after".
std::string ToString(const DiffLine& line);

}  // namespace poplarfork::note
