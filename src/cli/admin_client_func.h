#pragma once

#include "cli/admin_client_type.h"

namespace poplarfork::cli {

// Sends the request and waits for the response until its timeout.
AdminResponse SendAdminRequest(const AdminRequest& request);

}  // namespace poplarfork::cli
