#pragma once

#include <string>
#include <vector>

#include "base/error_code_type.h"

namespace poplarfork::note {

// One problem in a release note.
struct NoteProblem {
  // Line number, starting at 1. It is 0 if the note was not parsed from text.
  int line = 0;
  // Path of the key, for example "add.services[0].floor". It is empty if the
  // problem concerns the note as a whole.
  std::string key;
  base::ErrorCode code = base::ErrorCode::kMalformed;
  // Says what is wrong and what is accepted.
  std::string detail;
};

using NoteProblems = std::vector<NoteProblem>;

}  // namespace poplarfork::note
