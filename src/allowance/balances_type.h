#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

#include "allowance/balance_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "fleet/configuration_type.h"

namespace poplarfork::allowance {

// The client accounts of the configuration in force, which may be 510,000 and
// are therefore not copied.
using AccountMap = decltype(fleet::Configuration::accounts);
using AccountTable = std::shared_ptr<const AccountMap>;

// What a dispatcher holds of the rate limits of the accounts that have sent
// requests lately.
struct Balances {
  AccountTable accounts;
  std::unordered_map<base::AccountId, Balance> by_account;
  // When each balance has something to do.
  std::set<std::pair<base::TimePoint, base::AccountId>> wake_ups;
  std::uint64_t next_sequence = 1;
  // Number of gateways in the fleet.
  std::size_t known_members = 1;
};

}  // namespace poplarfork::allowance
