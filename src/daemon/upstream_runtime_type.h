#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"
#include "load/concurrency_limit_type.h"

namespace poplarfork::daemon {

// The state that the daemon keeps of one upstream in addition to its health.
struct UpstreamRuntime {
  base::UpstreamId id;
  std::string address;
  // The number of connections that this daemon may have to the upstream; 0 if
  // the upstream is not in this daemon's subset.
  std::uint32_t connection_quota = 0;
  load::ConcurrencyLimit concurrency_limit;
};

}  // namespace poplarfork::daemon
