#pragma once

#include <string>

#include "note/release_note_type.h"

namespace poplarfork::cli {

// A release note and the text that it was parsed from.
struct NoteFile {
  std::string text;
  note::ReleaseNote note;
};

}  // namespace poplarfork::cli
