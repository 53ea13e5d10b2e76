#pragma once

#include "standin/upstream_server_type.h"

namespace poplarfork::standin {

// Serves a request whose path starts with /control/. Active faults do not
// affect it.
void HandleControlRequest(const UpstreamServerPtr& upstream,
                          const HttpConnectionPtr& connection);

}  // namespace poplarfork::standin
