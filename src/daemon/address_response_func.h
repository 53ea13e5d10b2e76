#pragma once

#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Returns the response to GET
// /.poplarfork/v1/addresses?service=NAME&data_centre=DC: the addresses that the
// caller should use, in the order in which it should try them.
edge::HttpResponse MakeAddressResponse(Daemon& daemon,
                                       const edge::HttpRequest& request);

}  // namespace poplarfork::daemon
