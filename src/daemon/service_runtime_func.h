#pragma once

#include <optional>
#include <vector>

#include "base/rng_type.h"
#include "daemon/service_runtime_type.h"
#include "health/service_health_func.h"
#include "note/service_type.h"

namespace poplarfork::daemon {

// Returns the initial state of a service that this daemon begins to serve.
ServiceRuntime MakeServiceRuntime(
    const note::Service& service,
    const std::vector<routing::GroupMember>& group,
    const health::GroupMember& self,
    base::TimePoint now);

// Applies a new revision of the service. Requests in flight stay counted.
health::Actions UpdateService(ServiceRuntime& runtime,
                              const note::Service& service,
                              base::TimePoint now,
                              base::Rng& rng);

// Applies a new list of the live members of the service's group.
health::Actions UpdateGroup(ServiceRuntime& runtime,
                            const note::Service& service,
                            const std::vector<routing::GroupMember>& group,
                            base::TimePoint now,
                            base::Rng& rng);

// Updates the limits and weights of the candidates from the health state, the
// subset and the concurrency limits.
void RefreshCandidates(ServiceRuntime& runtime, base::TimePoint now);

// Returns the index of `upstream` in the vectors of `runtime`; empty if a
// release note has withdrawn the upstream.
std::optional<std::uint32_t> FindUpstreamIndex(
    const ServiceRuntime& runtime,
    const base::UpstreamId& upstream);

}  // namespace poplarfork::daemon
