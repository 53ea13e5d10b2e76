#pragma once

#include "standin/upstream_server_type.h"

namespace poplarfork::standin {

// Serves a request whose path starts with /control/. Active faults do not
// affect it.
void HandleControl(const UpstreamServerPtr& upstream,
                   const ConnectionPtr& connection);

}  // namespace poplarfork::standin
