#pragma once

#include <string>

#include "base/error_code_type.h"
#include "note/note_key_type.h"

namespace poplarfork::note {

// A scalar as the YAML parser returns it.
struct ScalarText {
  std::string text;
  // True if the scalar is written in quotes, which makes it text even if it
  // looks like a number.
  bool is_quoted = false;
};

// Validates `scalar` against the key's type and limits. Sets `value` and
// returns kOk if it is valid; otherwise returns kWrongType or kOutOfRange.
base::ErrorCode ParseValue(const NoteKey& key,
                           const ScalarText& scalar,
                           NoteValue& value);

}  // namespace poplarfork::note
