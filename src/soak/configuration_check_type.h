#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::soak {

// A request that shows which configuration a gateway has in force. Each version
// adds one route of its own.
struct Probe {
  std::uint32_t gateway = 0;
  std::uint64_t version = 0;
  base::TimePoint sent_at{};
};

// What is known of one lifetime of a gateway process.
struct GatewayHistory {
  // When the effect of each version was first seen.
  std::map<std::uint64_t, base::TimePoint> first_seen_at;
  // The gateway was disturbed until this time plus kExcuseTime.
  base::TimePoint disturbed_until{};
};

// Checks that an acknowledged configuration is in force in time and stays so.
struct ConfigurationCheck {
  std::map<std::uint64_t, base::TimePoint> acknowledged_at;
  std::vector<GatewayHistory> gateways;
  // Longest time from an acknowledgement to a request of an undisturbed gateway
  // that was handled by an older version.
  base::Duration longest_delay{};
  // One line for each violation.
  std::vector<std::string> violations;
};

}  // namespace poplarfork::soak
