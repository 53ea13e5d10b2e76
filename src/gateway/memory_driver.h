#pragma once

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Applies the memory limit of the settings to the server for callers and to the
// connections to upstreams.
void ApplyMemoryLimit(Gateway& gateway);

// Returns whether the buffered bytes leave room for a new request. Logs when
// that changes.
bool HasMemoryForRequest(Gateway& gateway);

// Updates the metric of the buffered bytes.
void UpdateMemoryMetrics(Gateway& gateway);

}  // namespace poplarfork::gateway
