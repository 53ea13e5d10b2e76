#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"

namespace poplarfork::allowance {

// A dispatcher asks the owner of an account for tokens.
struct TokenAsk {
  base::AccountId account;
  double wanted = 0;
  // Tokens of earlier grants that the dispatcher did not use.
  double returned = 0;
  // Increases with each ask of the dispatcher for the account. The upper half
  // differs between successive processes at the same address.
  std::uint64_t sequence = 0;
};

// The asks that one datagram carries. On the wire this is FleetTokenAsk.
using TokenAsks = std::vector<TokenAsk>;

// Number of asks or grants in one datagram, so that it fits into one packet
// with account names of usual length.
inline constexpr std::size_t kMaxAsksPerDatagram = 24;

}  // namespace poplarfork::allowance
