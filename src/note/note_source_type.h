#pragma once

#include <string>
#include <vector>

namespace poplarfork::note {

// Line number of one key or list element of a note.
struct NoteLine {
  // Path of the key, for example "add.upstreams[2]".
  std::string key;
  // Line number, starting at 1.
  int line = 0;
};

// Source of a parsed note. It lets errors that are found after parsing name the
// file and the line.
struct NoteSource {
  std::string file_name;
  std::vector<NoteLine> lines;
};

}  // namespace poplarfork::note
