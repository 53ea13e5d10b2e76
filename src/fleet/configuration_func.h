#pragma once

#include <string_view>

#include "fleet/configuration_type.h"

namespace poplarfork::fleet {

// Returns the route of `host` with the longest prefix of `target`'s path, or
// null if there is none. `host` may contain a port and upper-case letters.
const Route* FindRoute(const Configuration& configuration,
                       std::string_view host,
                       std::string_view target);

// Sorts the routes of each host by descending length of the prefix, as
// FindRoute() requires. It is called once after a configuration has been
// decoded.
void SortRoutes(Configuration& configuration);

}  // namespace poplarfork::fleet
