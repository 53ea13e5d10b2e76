#pragma once

#include <string>
#include <vector>

namespace poplarfork::note {

// How a note affects an item.
enum class DiffKind {
  kAdded,
  kChanged,
  kWithdrawn,
};

// One item that a note changes.
struct DiffLine {
  DiffKind kind = DiffKind::kAdded;
  // Kind and name of the item, for example "upstream booking-07".
  std::string item_name;
  // The item's values before the note; empty if the note adds the item.
  std::string before;
  // The item's values after the note; empty if the note withdraws the item.
  std::string after;
};

using Diff = std::vector<DiffLine>;

}  // namespace poplarfork::note
