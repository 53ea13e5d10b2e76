#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "daemon/upstream_runtime_type.h"
#include "health/service_health_type.h"
#include "note/service_type.h"
#include "routing/candidate_type.h"
#include "routing/group_member_type.h"

namespace poplarfork::daemon {

// The state of one service that this daemon serves. `upstreams` and
// `candidates` have one element for each element of `health.upstreams`, in the
// same order.
struct ServiceRuntime {
  base::ServiceId id;
  note::ServicePolicy policy;
  health::ServiceHealth health;
  std::vector<routing::GroupMember> group;
  std::vector<UpstreamRuntime> upstreams;
  std::vector<routing::Candidate> candidates;
  // The version of the health state's routing view that `candidates` was last
  // updated from.
  std::uint64_t seen_view_version = 0;
};

}  // namespace poplarfork::daemon
