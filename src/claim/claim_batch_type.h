#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "claim/claimant_type.h"

namespace poplarfork::claim {

// One entry of a shard's claim log. Writer, incarnation and batch number
// identify the entry, so that a writer that lost the store's reply recognizes
// its own entry.
struct ClaimBatch {
  base::DaemonId writer = {};
  base::Incarnation writer_incarnation = {};
  std::uint64_t batch_number = 0;
  std::vector<Claim> claims = {};

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ClaimBatch&, const ClaimBatch&) = default;
};

}  // namespace poplarfork::claim
