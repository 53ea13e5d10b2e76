#pragma once

#include <string>
#include <vector>

#include "release.pb.h"
#include "release/install_type.h"
#include "release/partial_snapshot_type.h"
#include "release/settings_type.h"

namespace poplarfork::release {

// Returns the serialized chunks of a snapshot of the installed configuration
// and note ids. Every daemon builds the same bytes from the same state.
std::vector<std::string> BuildSnapshotChunks(const InstallState& state,
                                             const ReleaseSettings& settings);

// Adds the next chunk to a partial snapshot. After kRefused the snapshot must
// be read again from its first chunk.
ChunkOutcome AddChunk(PartialSnapshot& partial,
                      const proto::SnapshotChunk& chunk,
                      const ReleaseSettings& settings);

// Installs a complete snapshot if its revision is higher than the installed
// one. Returns true if it was installed.
bool InstallSnapshot(InstallState& state, PartialSnapshot& partial);

}  // namespace poplarfork::release
