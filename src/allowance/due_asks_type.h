#pragma once

#include <set>

#include "allowance/token_ask_type.h"

namespace poplarfork::allowance {

// What a dispatcher has to do now for its balances.
struct DueAsks {
  // Asks to send to the owners of the accounts.
  TokenAsks asks;
  // Groups whose owner has not replied; their asks go to the next member in
  // rank.
  std::set<std::uint32_t> silent_groups;
};

}  // namespace poplarfork::allowance
