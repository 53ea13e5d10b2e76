#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids_type.h"

namespace poplarfork::release {

// Returns the key of a log entry: "poplarfork/log/<20-digit revision>". The
// zeros in front make the order of the keys that of the revisions.
std::string EntryKey(base::Revision revision);

// Returns the exclusive end of the key range that holds all log entries.
std::string LogRangeEnd();

// Returns the key of a snapshot chunk:
// "poplarfork/snapshot/<20-digit revision>/<6-digit chunk>".
std::string SnapshotKey(base::Revision revision, std::uint32_t chunk);

// Returns the exclusive end of the key range that holds all snapshot chunks.
std::string SnapshotRangeEnd();

// Returns the revision in the key of a snapshot chunk, or nullopt if `key` is
// not such a key.
std::optional<base::Revision> ParseSnapshotRevision(std::string_view key);

}  // namespace poplarfork::release
