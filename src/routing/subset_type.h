#pragma once

#include <cstdint>

#include "base/ids_type.h"

namespace poplarfork::routing {

// An upstream that a daemon may use, with the number of connections that it may
// hold.
struct SubsetEntry {
  base::UpstreamId upstream;
  std::uint32_t connections = 0;
};

}  // namespace poplarfork::routing
