#pragma once

#include "fleet/client_account_type.h"

namespace poplarfork::fleet {

enum class AccountResult {
  kAllowed,
  kKeyMissing,
  kKeyMalformed,
  kKeyDuplicate,
  kKeyUnknown,
};

// Whether a request may be served, and for which client account.
struct AccountDecision {
  AccountResult result = AccountResult::kAllowed;
  // Null if the request has no account. Valid as long as the configuration from
  // which the decision was made.
  const ClientAccount* account = nullptr;
};

}  // namespace poplarfork::fleet
