#pragma once

#include <cstdint>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::claim {

// The parts of a minted key.
struct MintedKey {
  base::DaemonId daemon = {};
  base::Incarnation incarnation = {};
  std::uint64_t counter = 0;
  // Time from the start of the minting daemon to the minting of the key.
  std::chrono::milliseconds minted_after = std::chrono::milliseconds(0);
  // Keyed hash of the other parts and the account.
  std::uint64_t hash = 0;
};

}  // namespace poplarfork::claim
