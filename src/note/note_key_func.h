#pragma once

#include <span>
#include <string>
#include <string_view>

#include "note/note_key_type.h"

namespace poplarfork::note {

// Maximum size of a release note's text. A log entry must fit into a value of
// the store (1 MB), and a batch of 64 entries into the memory of a daemon.
inline constexpr std::size_t kMaxNoteBytes = 256UL * 1024;

// Returns the table of all keys that release notes may contain.
std::span<const NoteKey> NoteKeys();

// Returns the key named `name` of the given kind of mapping, or nullptr if that
// kind has no such key.
const NoteKey* FindNoteKey(MappingKind mapping, std::string_view name);

// Returns the names of all keys of the given kind of mapping as a list for
// error messages, separated by commas.
std::string AcceptedKeyNames(MappingKind mapping);

// Returns a description of the values that the key accepts, for error messages.
std::string DescribeAcceptedValues(const NoteKey& key);

}  // namespace poplarfork::note
