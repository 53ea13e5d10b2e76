#pragma once

#include <cstdint>

#include "claim/claimant_type.h"
#include "claim/run_key_type.h"

namespace poplarfork::claim {

// A message that asks the collecting daemon of `shard` to append a claim.
struct ClaimMessage {
  Shard shard = {};
  Claim claim = {};
};

enum class ClaimVerdict {
  // `owner` made the first claim of the key in the log.
  kOwned,
  // Nothing was appended.
  kUnavailable,
  // The claim may or may not have been appended.
  kInDoubt,
};

// The answer to a claim that `claim.claimant` made.
struct ClaimResult {
  Claim claim = {};
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  // Set if the verdict is `kOwned`.
  Claimant owner = {};
};

}  // namespace poplarfork::claim
