#pragma once

#include <set>
#include <string>

#include "note/release_note_type.h"

namespace poplarfork::note {

// Names of items with their kind, such as "upstream booking-07".
using ItemNames = std::set<std::string>;

// Returns the names of the items that the note adds, changes or withdraws.
ItemNames TouchedItemNames(const ReleaseNote& note);

}  // namespace poplarfork::note
