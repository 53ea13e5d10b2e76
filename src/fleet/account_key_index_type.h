#pragma once

#include <unordered_map>

#include "fleet/client_account_type.h"
#include "fleet/key_digest_type.h"

namespace poplarfork::fleet {

// Client accounts by the digests of their keys. The pointers refer to the
// accounts of the configuration that contains the index, so it can be moved
// together with them but not copied.
struct AccountKeyIndex {
  AccountKeyIndex() = default;
  AccountKeyIndex(AccountKeyIndex&&) = default;
  AccountKeyIndex& operator=(AccountKeyIndex&&) = default;

  std::unordered_map<KeyDigest, const ClientAccount*> accounts;
};

}  // namespace poplarfork::fleet
