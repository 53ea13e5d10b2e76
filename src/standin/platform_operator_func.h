#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "standin/platform_store_type.h"

namespace poplarfork::standin {

// A route to the service "s" in a configuration of the stand-in's operator.
struct PlatformRoute {
  std::string name;
  std::string prefix;
  // Requests of the route may run more than once.
  bool is_repeatable = true;
};

// Writes a configuration with these routes of `host`, as the operator does. It
// is acknowledged when the function returns.
void PutPlatformConfiguration(PlatformStore& store,
                              std::uint64_t version,
                              const std::string& host,
                              const std::vector<PlatformRoute>& routes);

}  // namespace poplarfork::standin
