#pragma once

#include "base/ids_type.h"

namespace poplarfork::routing {

enum class RouteStatus {
  kMatched,
  // The host is known, but no route matches the method and path.
  kNoRoute,
  // The route belonged to a service that a release note withdrew.
  kWithdrawn,
  // No route names the host.
  kWrongHost,
};

// Result of a route lookup. `service` is set if the status is `kMatched` or
// `kWithdrawn`, `repeatable` only if it is `kMatched`.
struct RouteMatch {
  RouteStatus status = RouteStatus::kNoRoute;
  base::ServiceId service;
  bool repeatable = false;
};

}  // namespace poplarfork::routing
