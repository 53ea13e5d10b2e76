#pragma once

#include <optional>

#include "fleet/client_account_type.h"
#include "fleet/credential_type.h"

namespace poplarfork::gateway {

// How a request was admitted with regard to client accounts.
struct AccountAdmission {
  // Empty if the configuration in force has no accounts.
  std::optional<fleet::Credential> credential;
  // Account of the configuration in force; null if the request has none.
  const fleet::ClientAccount* account = nullptr;
};

}  // namespace poplarfork::gateway
