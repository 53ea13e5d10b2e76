#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"
#include "release/install_type.h"

namespace poplarfork::release {

// A snapshot of which the chunks are being read in order.
struct PartialSnapshot {
  base::Revision revision;
  std::string hash;
  std::uint32_t next_chunk = 0;
  // Number of chunks of the snapshot; 0 until the first chunk has been added.
  std::uint32_t chunk_count = 0;
  InstallState install;
};

enum class ChunkOutcome {
  // The chunk was added and further ones are missing.
  kIncomplete,
  // The chunk was the last one.
  kComplete,
  // The chunk is malformed or belongs to another snapshot.
  kRefused,
};

}  // namespace poplarfork::release
