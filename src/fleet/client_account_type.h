#pragma once

#include <cstdint>
#include <optional>

#include "base/ids_type.h"

namespace poplarfork::fleet {

// Rate limit of a client account, over all gateways, routes and services
// together. It is enforced as a token bucket.
struct AccountLimit {
  // Requests per second; 0 means that there is no limit.
  double rate_per_second = 0;
  // Capacity of the bucket in requests.
  double burst = 0;

  friend bool operator==(const AccountLimit&, const AccountLimit&) = default;
};

// A client account of the operator's configuration.
struct ClientAccount {
  base::AccountId id;
  // Replaces the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority = std::nullopt;
  AccountLimit limit;
};

}  // namespace poplarfork::fleet
