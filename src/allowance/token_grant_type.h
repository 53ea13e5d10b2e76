#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::allowance {

// The owner's reply to a TokenAsk.
struct TokenGrant {
  base::AccountId account;
  double granted = 0;
  // Time until the owner expects to have another token for the dispatcher.
  base::Duration next_token{};
  // Sequence of the ask.
  std::uint64_t sequence = 0;
};

// The grants that one datagram carries. On the wire this is FleetTokenGrant.
using TokenGrants = std::vector<TokenGrant>;

}  // namespace poplarfork::allowance
