#pragma once

#include "base/result_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Request targets of the server on the control address.
inline constexpr const char* kConfigurationTarget = "/configuration";
inline constexpr const char* kMetricsTarget = "/metrics";
// Its query is described in where_driver.h.
inline constexpr const char* kWhereTarget = "/where";

// Starts the HTTP servers for callers, for readiness checks, for requests for
// gateway addresses and for other daemons. The addresses in the settings are
// replaced by the addresses in use. Returns the first error.
base::Result<void> StartHttpServers(Gateway& gateway);

// Starts a timer that closes the connections of callers, upstreams and other
// daemons that are past their time limits.
void StartConnectionSweeps(Gateway& gateway);

}  // namespace poplarfork::gateway
