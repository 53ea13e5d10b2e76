#pragma once

#include <span>
#include <string>
#include <string_view>

#include "note/configuration_type.h"
#include "routing/route_match_type.h"
#include "routing/route_table_type.h"

namespace poplarfork::routing {

// Builds the table of all routes in `configuration`.
RouteTable BuildRouteTable(const note::Configuration& configuration);

// Returns `previous` with the routes of `hosts` (spelled as in the
// configuration) rebuilt from `configuration`. It is meant for a release note
// that changes few hosts.
RouteTable RebuildHosts(const RouteTable& previous,
                        const note::Configuration& configuration,
                        std::span<const std::string> hosts);

// Looks up the route of a request. `host` may have a port and upper-case
// letters, and `target` may have a query. A prefix matches whole path segments:
// "/orders" matches "/orders" and "/orders/5", but not "/orders-old". The
// longest prefix that has an entry for the method takes precedence.
RouteMatch FindRoute(const RouteTable& table,
                     std::string_view host,
                     std::string_view method,
                     std::string_view target);

}  // namespace poplarfork::routing
