#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"

namespace poplarfork::note {

// An upstream of a service as listed in a release note.
struct Upstream {
  base::UpstreamId id;
  // "IP:port", with an IPv6 address in brackets.
  std::string address;
  base::DataCentreId data_centre;
  // Number of requests that the upstream runs at the same time.
  std::uint32_t slots = 1;
  // Maximum number of connections that the upstream accepts from the whole
  // fleet.
  std::uint32_t max_connections = 330;
};

}  // namespace poplarfork::note
