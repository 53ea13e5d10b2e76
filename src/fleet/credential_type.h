#pragma once

#include "fleet/key_digest_type.h"

namespace poplarfork::fleet {

enum class CredentialState {
  kAbsent,
  kMalformed,
  // The request names a key more than once.
  kDuplicate,
  kPresent,
};

// The key with which a caller's request names its client account.
struct Credential {
  CredentialState state = CredentialState::kAbsent;
  // Only valid if the state is kPresent.
  KeyDigest key;
};

}  // namespace poplarfork::fleet
