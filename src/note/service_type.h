#pragma once

#include <map>

#include "base/ids_type.h"
#include "note/policy_type.h"
#include "note/upstream_type.h"

namespace poplarfork::note {

// A service with its policy and its upstreams.
struct Service {
  base::ServiceId id;
  ServicePolicy policy;
  std::map<base::UpstreamId, Upstream> upstreams;
};

}  // namespace poplarfork::note
