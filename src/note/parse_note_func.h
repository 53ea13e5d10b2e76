#pragma once

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "note/release_note_type.h"

namespace poplarfork::note {

// Parses a release note from YAML. The error's peer is `file_name`. Its detail
// lists all problems, one per line, each with line number, key and what is
// accepted. Its code is that of the first problem: kMalformed (not valid YAML),
// kUnknownKey, kWrongType, kOutOfRange, kMissing, kConflict (duplicate key) or
// kTooLarge. ApplyNote, not this function, checks references to other items.
base::Result<ReleaseNote> ParseReleaseNote(std::string_view text,
                                           const std::string& file_name);

}  // namespace poplarfork::note
