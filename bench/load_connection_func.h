#pragma once

#include "bench/load_connection_type.h"

namespace poplarfork::bench {

// Sends a request and reads its response; connects first if the connection is
// closed. `on_done` is called once, on the event loop. The connection must not
// be busy.
void SendRequest(const LoadConnectionPtr& connection,
                 const RequestPlan& plan,
                 ResultCallback on_done);

}  // namespace poplarfork::bench
