#pragma once

#include <string>

#include "log_entry.pb.h"

namespace poplarfork::note {

// Hash of the empty log, which is the predecessor hash of the log entry with
// revision 1.
inline constexpr char kEmptyLogHash[] = "0000000000000000";

// Returns the chained hash of `entry` as 16 hex digits. It covers the
// predecessor's hash and all other fields of the entry, so that two logs whose
// last entries have the same hash hold the same entries.
std::string ChainHash(const proto::LogEntry& entry);

}  // namespace poplarfork::note
