#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::soak {

// What one run starts and disturbs.
struct Options {
  // Path of the poplarfork-gateway program.
  std::string gateway_program;
  // Folder for the settings and the logs of the gateways.
  std::string folder;
  std::uint64_t seed = 1;
  base::Duration duration = std::chrono::seconds(15);
  std::uint32_t gateway_count = 6;
  std::uint32_t upstream_count = 9;
  // Requests of callers per second, over all gateways.
  double request_rate = 60;
  // Troubles per second; 0 for a calm run.
  double trouble_rate = 0.4;
  // Names of the troubles to draw from; all if empty.
  std::vector<std::string> trouble_names;
  // Connections to the store go silent whenever a configuration is written.
  bool silences_at_changes = false;
  // A look-up that crashes the upstreams that run it is sent again and again.
  bool sends_crashing_requests = false;
};

// Bounds that the run checks, and the time for which a disturbed gateway is
// excused from them.
inline constexpr base::Duration kConfigurationBound =
    std::chrono::milliseconds(2000);
inline constexpr base::Duration kRegressionSlack =
    std::chrono::milliseconds(250);
inline constexpr base::Duration kExcuseTime = std::chrono::milliseconds(3000);
inline constexpr base::Duration kGraceTime = std::chrono::seconds(6);

}  // namespace poplarfork::soak
